package figure

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func TestWriteFormats(t *testing.T) {
	rows := Rows([]Figure{{"goodput", "load=2", "share", "", 0.96251}, {"spread", "n=8", "all p50", "ms", 12345.6}})
	var out bytes.Buffer
	if err := Write(&out, CSV, Columns, rows); err != nil {
		t.Fatal(err)
	}
	want := "experiment,case,quantity,value,unit\ngoodput,load=2,share,0.9625,\nspread,n=8,all p50,12346,ms\n"
	if out.String() != want {
		t.Errorf("got %q", out.String())
	}
	out.Reset()
	if err := Write(&out, Table, Columns, rows); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 4 {
		t.Errorf("%v: %q", err, out.String())
	}
}

func TestQuantile(t *testing.T) {
	list := []time.Duration{3, 1, 2, 4}
	if Quantile(nil, 0.5) != 0 || Quantile(list, 0.5) != 3 || Quantile(list, 1) != 4 {
		t.Errorf("%v", list)
	}
}

func TestRunSelectsExperiments(t *testing.T) {
	one := func(n int) ([]Figure, error) { return []Figure{{Value: float64(n)}}, nil }
	all := []Experiment[int]{{"a", "", one}, {"b", "", one}}
	list, err := Run(all, []string{"b"}, 3)
	if err != nil || len(list) != 1 || list[0] != (Figure{Experiment: "b", Value: 3}) {
		t.Errorf("%v, %v", list, err)
	}
	if list, _ := Run(all, nil, 3); len(list) != 2 {
		t.Errorf("%v", list)
	}
	var unknown *UnknownExperimentError
	if _, err := Run(all, []string{"c"}, 3); !errors.As(err, &unknown) {
		t.Errorf("%v", err)
	}
}
