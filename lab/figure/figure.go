// Package figure holds the results of experiments and writes them as a table or as CSV,
// one row per measured value.
package figure

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Figure is one measured value.
type Figure struct {
	Experiment string  // name of the experiment, such as goodput
	Case       string  // conditions, such as "load=2 policy=fifo"
	Quantity   string  // the measured quantity
	Unit       string  // such as s or B/s; empty for a share or a count
	Value      float64 //
}

// Columns are the column names of Rows.
var Columns = []string{"experiment", "case", "quantity", "value", "unit"}

// Rows returns a row with Columns for each figure. Values below 1000 have four
// significant digits, others no decimals.
func Rows(list []Figure) [][]string {
	var rows [][]string
	for _, f := range list {
		rows = append(rows, []string{f.Experiment, f.Case, f.Quantity, number(f.Value), f.Unit})
	}
	return rows
}

func number(v float64) string {
	if v >= 1000 || v <= -1000 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// Millis returns d in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Quantile returns the q-quantile of list, with q from 0 to 1, or 0 if list is empty. It
// sorts list in place.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Output formats.
const (
	Table = "table"
	CSV   = "csv"
)

// Write writes columns as a header and rows below it in an output format. In a table an
// empty line separates rows whose first column differs.
func Write(out io.Writer, format string, columns []string, rows [][]string) error {
	if format == CSV {
		w := csv.NewWriter(out)
		w.Write(columns)
		return w.WriteAll(rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, strings.Join(columns, "\t")+"\t")
	for i, row := range rows {
		if i > 0 && row[0] != rows[i-1][0] {
			fmt.Fprintln(w, strings.Repeat("\t", len(columns)))
		}
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	return w.Flush()
}
