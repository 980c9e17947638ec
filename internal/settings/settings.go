// Package settings reads a program's settings from flags and environment
// variables and reports what is wrong with them in one line.
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

// ExitUsage is the exit code of a program with wrong settings.
const ExitUsage = 2

// Version is the version that --version prints; the build may set it.
var Version = "0.1.0-dev"

// Error names a setting that can't be used and what to do about it.
type Error struct {
	Setting string
	Reason  string
	Remedy  string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting -%s: %s; %s", e.Setting, e.Reason, e.Remedy)
}

// Set is the settings of one program.
type Set struct {
	*flag.FlagSet
	program string
	prefix  string
	summary string
	version bool
}

// New returns the empty settings of a program. Each flag -some-name is also
// read from the environment variable PREFIX_SOME_NAME; a flag goes first.
func New(program, prefix, summary string) *Set {
	s := &Set{FlagSet: flag.NewFlagSet(program, flag.ContinueOnError), program: program, prefix: prefix, summary: summary}
	s.SetOutput(io.Discard)
	s.BoolVar(&s.version, "version", false, "print the version and exit")
	// The flag package calls Usage for each wrong flag too: pages of settings
	// would bury the line that says what is wrong. Parse answers -h itself.
	s.FlagSet.Usage = func() {}
	return s
}

func (s *Set) usage() {
	fmt.Fprintf(os.Stdout, "%s: %s\n\nEach setting is a flag or an environment variable %s_NAME.\n\n", s.program, s.summary, s.prefix)
	s.SetOutput(os.Stdout)
	s.PrintDefaults()
}

// ErrDone is returned by Parse when -h or --version has been answered.
var ErrDone = errors.New("settings: help or version printed")

// Parse reads args and the environment.
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

// checkEnvironment refuses variables under the program's prefix that are no
// setting. A misspelt variable would else be passed over in silence, and the
// process would run with a default that its operator believes replaced.
func (s *Set) checkEnvironment() error {
	for _, kv := range os.Environ() {
		name, _, _ := strings.Cut(kv, "=")
		rest, ok := strings.CutPrefix(name, s.prefix+"_")
		if !ok {
			continue
		}
		flagName := strings.ReplaceAll(strings.ToLower(rest), "_", "-")
		if s.Lookup(flagName) == nil {
			return fmt.Errorf("environment variable %s is no setting of %s; unset it or run %s -h for the settings", name, s.program, s.program)
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

// Exit ends the program for an error of Parse or of a later check.
func Exit(program string, err error) {
	if errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	os.Exit(ExitUsage)
}

// AddrPort checks an IPv4 address with port.
func AddrPort(setting, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() {
		return a, &Error{Setting: setting, Reason: fmt.Sprintf("%q is no IPv4 address with port", value), Remedy: "write it like 10.0.0.1:7700"}
	}
	return a, nil
}

// AddrPorts checks a comma-separated list of IPv4 addresses with ports. An
// empty value is an empty list.
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

// PEM returns PEM text given in a setting, or read from the file that it names.
func PEM(setting, value string) ([]byte, error) {
	if strings.HasPrefix(value, "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	if err != nil {
		return nil, &Error{Setting: setting, Reason: err.Error(), Remedy: "give PEM text or a file that this process may read"}
	}
	return b, nil
}

// Required refuses an empty value.
func Required(setting, value string) error {
	if value == "" {
		return &Error{Setting: setting, Reason: "no value given", Remedy: "set it; -h tells what it is"}
	}
	return nil
}

// Level checks the name of a log level.
func Level(setting, value string) error {
	if _, err := zapcore.ParseLevel(value); err != nil {
		return &Error{Setting: setting, Reason: fmt.Sprintf("%q is no log level", value), Remedy: "give debug, info, warn or error"}
	}
	return nil
}

// First runs checks in order and returns the first error.
func First(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}
