package figure

import (
	"fmt"
	"slices"
	"strings"
)

// Experiment is one question put to a model; C is the model's config.
type Experiment[C any] struct {
	Name string
	Tell string // what it tells, one line
	Run  func(C) ([]Figure, error)
}

// UnknownError names an experiment that there isn't, and those that there are.
type UnknownError struct {
	Name  string
	Known []string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("no experiment %q; choose from %s", e.Name, strings.Join(e.Known, ", "))
}

// Names returns the names of experiments.
func Names[C any](all []Experiment[C]) []string {
	var names []string
	for _, e := range all {
		names = append(names, e.Name)
	}
	return names
}

// Run runs the named experiments, or all if names is empty, and returns their
// figures under their names. It returns an UnknownError before any has run, or
// the first error of an experiment.
func Run[C any](all []Experiment[C], names []string, c C) ([]Figure, error) {
	known := Names(all)
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, &UnknownError{n, known}
		}
	}
	var list []Figure
	for _, e := range all {
		if len(names) > 0 && !slices.Contains(names, e.Name) {
			continue
		}
		figures, err := e.Run(c)
		if err != nil {
			return nil, err
		}
		for _, f := range figures {
			f.Experiment = e.Name
			list = append(list, f)
		}
	}
	return list, nil
}
