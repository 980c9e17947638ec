package main

import (
	"bytes"
	"encoding/csv"
	"io"
	"testing"
	"time"
)

func TestWrongSettingsAreRefused(t *testing.T) {
	for _, args := range [][]string{
		{"-agents", "1"}, {"-o", "xml"}, {"-duration", "1s"}, {"-seeds", "0"},
		{"-unknown", "300"}, {"-remote-penalty", "300"}, {"-no-such"}, {"extra"},
	} {
		if _, err := parse(args, io.Discard); err == nil {
			t.Errorf("%v: accepted", args)
		}
	}
}

func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("HEMLOCK_AGENTS", "3")
	s, err := parse([]string{"-balancers", "2"}, io.Discard)
	if err != nil || s.agents != 3 || s.balancers != 2 {
		t.Errorf("%+v, %v", s, err)
	}
}

func TestRunPrintsARowPerPolicy(t *testing.T) {
	s, err := parse([]string{"-cases", "load-0.50", "-policies", "random,placement", "-o", "csv"}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	s.duration = time.Minute
	var out bytes.Buffer
	if err := run(s, &out); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(&out).ReadAll()
	if err != nil || len(rows) != 3 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
	s.cases = "no-such"
	if err := run(s, io.Discard); err == nil {
		t.Error("an unknown case ran")
	}
}
