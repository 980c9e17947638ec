package figure

import (
	"fmt"
	"slices"
	"strings"
)

// Experiment is a named measurement on a model; C is the model's config.
type Experiment[C any] struct {
	Name    string
	Summary string // what it measures, in one line
	Run     func(C) ([]Figure, error)
}

// UnknownExperimentError is returned for an experiment name that does not exist; Known
// lists the existing ones.
type UnknownExperimentError struct {
	Name  string
	Known []string
}

func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("unknown experiment %q; choose from %s", e.Name, strings.Join(e.Known, ", "))
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
// figures with Experiment set. It returns an UnknownExperimentError before any
// experiment has run, or the first error of an experiment.
func Run[C any](all []Experiment[C], names []string, c C) ([]Figure, error) {
	known := Names(all)
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, &UnknownExperimentError{n, known}
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

// Guard returns a function that validates the config with check before it calls run,
// and that returns a panic with a value of type F as an error. Models panic with an F
// to abort a run that can't continue; other panics are passed on.
func Guard[F error, C any](check func(C) error, run func(C) []Figure) func(C) ([]Figure, error) {
	return func(c C) (list []Figure, err error) {
		if err := check(c); err != nil {
			return nil, err
		}
		defer func() {
			r := recover()
			if r == nil {
				return
			}
			fault, ok := r.(F)
			if !ok {
				panic(r)
			}
			err = fault
		}()
		return run(c), nil
	}
}
