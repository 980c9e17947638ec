// Command hemlock-lab runs the decision packages on models in simulated time and
// prints the measured figures: `hemlock-lab TOOL [flags]`.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/hemlockscale/hemlockscale/internal/settings"
)

const program = "hemlock-lab"

// tool is one subcommand.
type tool struct {
	name, summary string
	run           func(args []string, out io.Writer) error
}

var tools = []tool{
	{"placement", "comparison of placement policies on a model of one service", runPlacement},
	{"admission", "goodput, fairness and retries of one backend server under overload", runAdmission},
	{"membership", "how membership changes and failures propagate, and the traffic and time it costs", runMembership},
	{"recovery", "service to callers after a power loss, a kill, a burst, an evacuation or with slow or failing servers, compared with an upper bound", runRecovery},
	{"control", "control messages of packet flows at any size of the fleet, and how long failures take to become known", runControl},
	{"catalogue", "how changes of the catalogue come into force, and the traffic and time it costs", runCatalogue},
}

// UsageError is a command line that names no tool, or an unknown one.
type UsageError struct{ Given string }

func (e *UsageError) Error() string {
	if e.Given == "" {
		return "no tool given; run " + program + " -h for a list of tools"
	}
	return fmt.Sprintf("unknown tool %q; run %s -h for a list of tools", e.Given, program)
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		settings.Exit(program, err)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return &UsageError{}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		return usage(out)
	}
	for _, t := range tools {
		if t.name == args[0] {
			return t.run(args[1:], out)
		}
	}
	return &UsageError{args[0]}
}

func usage(out io.Writer) error {
	fmt.Fprintf(out, "%s TOOL [flags]: runs models in simulated time and prints figures\n\n", program)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, t := range tools {
		fmt.Fprintf(w, "  %s\t%s\n", t.name, t.summary)
	}
	err := w.Flush()
	fmt.Fprintf(out, "\n%s TOOL -h lists its flags with units and defaults.\n", program)
	return errors.Join(err, settings.ErrDone)
}
