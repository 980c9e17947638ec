// Package figure is what an experiment gives: one figure a row, with what it
// tells and its unit, as a table or as CSV.
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
	Experiment string  // such as goodput
	Case       string  // under which conditions, such as "load=2 policy=fifo"
	Quantity   string  // what was measured
	Unit       string  // such as s, B/s; empty for a share or a count
	Value      float64 //
}

// Columns are the columns that Rows fills.
var Columns = []string{"experiment", "case", "quantity", "value", "unit"}

// Rows returns a row of Columns for each figure, values with four digits.
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

// Millis is d in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Quantile returns the q-quantile of list, 0 to 1, and 0 of an empty list; it
// sorts list.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Forms of output.
const (
	Table = "table"
	CSV   = "csv"
)

// Write writes rows under columns in a form. In a table an empty line parts
// rows whose first column differs.
func Write(out io.Writer, form string, columns []string, rows [][]string) error {
	if form == CSV {
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
