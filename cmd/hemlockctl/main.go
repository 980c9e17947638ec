// Command hemlockctl edits and shows the catalogue, shows the state of a system on
// the users' platform, and prints the timeline of one flow from the logs of several
// processes.
//
// Exit codes: 0 accepted or shown; 1 refused or failed, no part of the edit named
// in the message is in force; 2 invalid usage or settings; 3 unknown whether an
// edit is in force, the printed settle command finds out.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// Exit codes.
const (
	exitAccepted = 0
	exitRefused  = 1
	exitUsage    = 2
	exitUnknown  = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// command is one subcommand.
type command struct {
	name    string
	args    string // positional arguments in the usage line
	summary string
	flags   func(*flag.FlagSet, *settings)
	run     func(*cli, context.Context) error
}

var commands = []command{
	{"apply", "", "create or replace the entries of a file; each edit applies completely or not at all", editFlags, (*cli).applyFile},
	{"delete", "SERVICE...", "delete entries of one owner", deleteFlags, (*cli).deleteServices},
	{"settle", "", "find out whether an edit whose response was lost is in force", settleFlags, (*cli).settle},
	{"check", "", "validate a file without access to the store", fileFlags, (*cli).check},
	{"diff", "", "show what applying a file would change", fileFlags, (*cli).diff},
	{"get", "SERVICE", "show one entry as a file that apply accepts", nil, (*cli).get},
	{"list", "", "list all entries", nil, (*cli).list},
	{"history", "", "list the changes that the store keeps", historyFlags, (*cli).history},
	{"platform", "", "show the contents of the platform's store and the state as known to processes, read-only", platformFlags, (*cli).platform},
	{"flow", "CALLER LOG...", "show the timeline of one flow from the logs of several processes", flowFlags, (*cli).flow},
	{"status", "", "show the revision in force at each balancer", statusFlags, (*cli).status},
}

// usageError is an invalid command line or setting.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		usage(errOut)
		return exitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(out)
		return exitAccepted
	case "-version", "--version", "version":
		fmt.Fprintln(out, "hemlockctl", version())
		return exitAccepted
	}
	i := slices.IndexFunc(commands, func(c command) bool { return c.name == args[0] })
	if i < 0 {
		fmt.Fprintf(errOut, "hemlockctl: unknown command %q; hemlockctl -h lists them\n", args[0])
		return exitUsage
	}
	c, err := parse(commands[i], args[1:], out)
	if err == nil {
		defer c.close()
		err = commands[i].run(c, ctx)
	}
	return c.finish(err, errOut)
}

// parse reads the flags and environment variables of a command.
func parse(cmd command, args []string, out io.Writer) (*cli, error) {
	c := &cli{out: out}
	fs := flag.NewFlagSet("hemlockctl "+cmd.name, flag.ContinueOnError)
	fs.SetOutput(io.Discard) // finish prints the error in one line
	commonFlags(fs, &c.settings)
	if cmd.flags != nil {
		cmd.flags(fs, &c.settings)
	}
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("HEMLOCK"))
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(out, "hemlockctl %s [flags] %s\n  %s\n\nEach flag may be set as HEMLOCK_ and its name in capitals.\n", cmd.name, cmd.args, cmd.summary)
		fs.SetOutput(out)
		fs.PrintDefaults()
		return c, err
	}
	if err != nil {
		return c, usagef("%v; hemlockctl %s -h lists the flags", err, cmd.name)
	}
	c.args = fs.Args()
	if cmd.args == "" && len(c.args) > 0 {
		return c, usagef("unexpected argument %q; remove it", c.args[0])
	}
	return c, c.open()
}

// finish reports an error and returns the exit code.
func (c *cli) finish(err error, errOut io.Writer) int {
	var (
		usageErr *usageError
		unknown  *catalogue.UnknownOutcomeError
		refused  *catalogue.RefusedError
	)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitAccepted
	case errors.As(err, &usageErr):
		fmt.Fprintln(errOut, "hemlockctl:", err)
		return exitUsage
	case errors.As(err, &unknown):
		c.report(errOut, outcome{Outcome: "unknown", Error: err.Error(), Edit: unknown.Edit.String(), Next: "hemlockctl settle -edit " + unknown.Edit.String()})
		return exitUnknown
	case errors.As(err, &refused):
		c.report(errOut, outcome{Outcome: "refused", Error: refused.Err.Error(), Changes: refused.Changes})
		return exitRefused
	}
	c.report(errOut, outcome{Outcome: "failed", Error: err.Error()})
	return exitRefused
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "hemlockctl COMMAND [flags]; hemlockctl COMMAND -h lists the flags")
	fmt.Fprintln(w)
	for _, c := range commands {
		fmt.Fprintf(w, "  %-28s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "Exit codes: 0 accepted, 1 refused or failed, 2 invalid usage, 3 unknown whether in force.")
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
