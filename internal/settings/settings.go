// Package settings reads a program's settings from flags and environment
// variables and reports an invalid setting in one line.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"go.uber.org/zap/zapcore"
)

// ExitUsage is the exit code of a program with invalid settings.
const ExitUsage = 2

// Version is the version that --version prints. The build may override it.
var Version = "0.1.0-dev"

// Error reports an invalid setting and its remedy.
type Error struct {
	Setting string
	Reason  string
	Remedy  string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting -%s: %s; %s", e.Setting, e.Reason, e.Remedy)
}

// Set holds the settings of one program.
type Set struct {
	*flag.FlagSet
	program string
	prefix  string
	summary string
	version bool
}

// New returns the settings of a program, which defines its flags on them. Each flag
// -some-name is also read from the environment variable PREFIX_SOME_NAME; a flag takes
// precedence.
func New(program, prefix, summary string) *Set {
	s := &Set{FlagSet: flag.NewFlagSet(program, flag.ContinueOnError), program: program, prefix: prefix, summary: summary}
	s.SetOutput(io.Discard)
	s.BoolVar(&s.version, "version", false, "print the version and exit")
	// The flag package also calls Usage for each invalid flag. Its long list of
	// settings would hide the error message, so Parse handles -h itself.
	s.FlagSet.Usage = func() {}
	return s
}

func (s *Set) usage() {
	fmt.Fprintf(os.Stdout, "%s: %s\n\nEach setting is a flag or an environment variable %s_NAME.\n\n", s.program, s.summary, s.prefix)
	s.SetOutput(os.Stdout)
	s.PrintDefaults()
}

// ErrDone is returned by Parse after it has printed the help or the version.
var ErrDone = errors.New("settings: help or version printed")

// Parse reads the settings from args and the environment.
func (s *Set) Parse(args []string) error {
	if err := s.checkEnvironment(); err != nil {
		return err
	}
	err := ff.Parse(s.FlagSet, args, ff.WithEnvVarPrefix(s.prefix))
	if errors.Is(err, flag.ErrHelp) {
		s.usage()
		return ErrDone
	}
	if err != nil {
		return fmt.Errorf("%w; run %s -h for the settings", err, s.program)
	}
	if s.version {
		fmt.Println(s.program, Version, buildInfo())
		return ErrDone
	}
	if s.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q; settings are flags, run %s -h for them", s.Arg(0), s.program)
	}
	return nil
}

// checkEnvironment rejects variables with the program's prefix that are not a
// setting. A misspelt variable would otherwise be ignored silently, and the
// process would run with the default value.
func (s *Set) checkEnvironment() error {
	for _, kv := range os.Environ() {
		name, _, _ := strings.Cut(kv, "=")
		rest, ok := strings.CutPrefix(name, s.prefix+"_")
		if !ok {
			continue
		}
		flagName := strings.ReplaceAll(strings.ToLower(rest), "_", "-")
		if s.Lookup(flagName) == nil {
			return fmt.Errorf("environment variable %s is not a setting of %s; unset it or run %s -h for the settings", name, s.program, s.program)
		}
	}
	return nil
}

func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.GoVersion
}

// Exit ends the program after an error from Parse or from a later check. For ErrDone the
// exit code is 0, otherwise the error is printed and the exit code is ExitUsage.
func Exit(program string, err error) {
	if errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(ExitUsage)
}

// AddrPort parses an IPv4 address with port. Errors are of type *Error.
func AddrPort(setting, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() {
		return a, &Error{Setting: setting, Reason: fmt.Sprintf("%q is not an IPv4 address with port", value), Remedy: "write it like 10.0.0.1:7700"}
	}
	return a, nil
}

// AddrPorts parses a comma-separated list of IPv4 addresses with ports. An
// empty value gives an empty list.
func AddrPorts(setting, value string) ([]netip.AddrPort, error) {
	if value == "" {
		return nil, nil
	}
	var list []netip.AddrPort
	for _, part := range strings.Split(value, ",") {
		a, err := AddrPort(setting, strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

// PEM returns the value if it is PEM text, and otherwise the content of the file that it
// names.
func PEM(setting, value string) ([]byte, error) {
	if strings.HasPrefix(value, "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	if err != nil {
		return nil, &Error{Setting: setting, Reason: err.Error(), Remedy: "give PEM text or the name of a file that this process can read"}
	}
	return b, nil
}

// Required returns an *Error if the value is empty.
func Required(setting, value string) error {
	if value == "" {
		return &Error{Setting: setting, Reason: "no value given", Remedy: "set it; -h describes it"}
	}
	return nil
}

// Level returns an *Error if the value is not the name of a log level.
func Level(setting, value string) error {
	if _, err := zapcore.ParseLevel(value); err != nil {
		return &Error{Setting: setting, Reason: fmt.Sprintf("%q is not a log level", value), Remedy: "give debug, info, warn or error"}
	}
	return nil
}

// FirstError runs the checks in order until one fails and returns its error.
func FirstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}
