package main

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/lab/figure"
)

// commonFlags holds the flags that all tools have.
type commonFlags struct {
	seed   uint64
	output string
}

// newFlagSet returns a flag set of a tool that defines the common flags.
func (c *commonFlags) newFlagSet(tool, summary string) *settings.Set {
	fs := settings.New(program+" "+tool, "HEMLOCK_LAB", summary)
	fs.Uint64Var(&c.seed, "seed", 1, "seed; the same seed gives the same figures")
	fs.StringVar(&c.output, "o", figure.Table, "output: table or csv")
	return fs
}

func (c *commonFlags) parse(fs *settings.Set, args []string) error {
	if err := fs.Parse(args); err != nil {
		return err
	}
	if c.output != figure.Table && c.output != figure.CSV {
		return &settings.Error{Setting: "o", Reason: fmt.Sprintf("%q is not an output format", c.output), Remedy: "give table or csv"}
	}
	return nil
}

// experiments runs the experiments of a tool: it selects them by a flag and writes
// their figures.
type experiments[C any] struct {
	commonFlags
	all   []figure.Experiment[C]
	names []string
}

// newFlagSet adds the flag that selects experiments; its help text lists each with its
// summary.
func (e *experiments[C]) newFlagSet(tool, summary string) *settings.Set {
	fs := e.commonFlags.newFlagSet(tool, summary)
	var help strings.Builder
	help.WriteString("experiments to run, separated by commas; empty is all:")
	for _, x := range e.all {
		fmt.Fprintf(&help, "\n%s: %s", x.Name, x.Summary)
	}
	stringList(fs, &e.names, "experiments", help.String())
	return fs
}

func (e *experiments[C]) run(c C, out io.Writer) error {
	list, err := figure.Run(e.all, e.names, c)
	if err != nil {
		return err
	}
	return figure.Write(out, e.output, figure.Columns, figure.Rows(list))
}

// inRange returns a function that returns an error unless low <= value <= high.
func inRange[T cmp.Ordered](setting string, value, low, high T) func() error {
	return func() error {
		if value >= low && value <= high {
			return nil
		}
		return &settings.Error{Setting: setting, Reason: fmt.Sprintf("%v is out of range", value), Remedy: fmt.Sprintf("give %v to %v", low, high)}
	}
}

// listValue implements flag.Value for a list separated by commas.
type listValue[T any] struct {
	target *[]T
	parse  func(string) (T, error)
}

func (l listValue[T]) String() string {
	if l.target == nil {
		return ""
	}
	return strings.ReplaceAll(strings.Trim(fmt.Sprint(*l.target), "[]"), " ", ",")
}

// Set replaces the list. The flag package adds the flag's name to the error.
func (l listValue[T]) Set(s string) error {
	*l.target = nil
	for _, part := range strings.Split(s, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		v, err := l.parse(part)
		if err != nil {
			return err
		}
		*l.target = append(*l.target, v)
	}
	return nil
}

func stringList(fs *settings.Set, to *[]string, name, usage string) {
	fs.Var(listValue[string]{to, func(s string) (string, error) { return s, nil }}, name, usage)
}

func floatList(fs *settings.Set, to *[]float64, name, usage string) {
	fs.Var(listValue[float64]{to, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) }}, name, usage)
}
