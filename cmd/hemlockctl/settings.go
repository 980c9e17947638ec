package main

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/store"
)

// Output formats.
const (
	outTable = "table"
	outJSON  = "json"
)

// settings are the flags of all commands.
type settings struct {
	storeURL   string
	timeout    time.Duration
	output     string
	editorName string
	file       string
	base       uint64
	owner      string
	edit       string
	service    string
	after      uint64
	limit      int
	balancers  string
	nodes      string
	around     time.Duration
}

func commonFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.storeURL, "store", "http://127.0.0.1:7000", "URL of the platform's store")
	fs.DurationVar(&s.timeout, "timeout", 10*time.Second, "time limit of the whole command")
	fs.StringVar(&s.output, "o", outTable, "output: table or json")
}

func editorFlag(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.editorName, "editor", strings.ToLower(os.Getenv("USER")), "name of the editor, recorded in the history")
}

func fileFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.file, "f", "", "YAML file of entries, - for standard input")
}

func editFlags(fs *flag.FlagSet, s *settings) {
	fileFlags(fs, s)
	editorFlag(fs, s)
	fs.Uint64Var(&s.base, "base", 0, "revision that the edit is based on; entries changed since are refused (default the file's revision, else the current one)")
}

func deleteFlags(fs *flag.FlagSet, s *settings) {
	editorFlag(fs, s)
	fs.StringVar(&s.owner, "owner", "", "owner of the entries")
	fs.Uint64Var(&s.base, "base", 0, "revision that the edit is based on; entries changed since are refused (default the current one)")
}

func settleFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.edit, "edit", "", "edit ID from the report of the unknown outcome")
}

func historyFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.service, "service", "", "show only this service (default all)")
	fs.Uint64Var(&s.after, "after", 0, "show only revisions above this one")
	fs.IntVar(&s.limit, "limit", 20, "number of newest changes to show, 0 for all")
}

func statusFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.balancers, "balancers", "", "admin addresses of the balancers, as address:port,address:port")
}

// cli is the state of one command execution.
type cli struct {
	settings
	args   []string
	out    io.Writer
	client *store.Client
	editor *catalogue.Editor
}

// open checks the settings and creates the store client and the editor.
func (c *cli) open() error {
	if c.output != outTable && c.output != outJSON {
		return usagef("output %q is unknown; use -o table or -o json", c.output)
	}
	if c.timeout <= 0 {
		return usagef("timeout %v is not positive; correct -timeout", c.timeout)
	}
	client, err := store.New(store.Config{URL: c.storeURL})
	if err != nil {
		return usagef("%v", err)
	}
	c.client = client
	c.editor = &catalogue.Editor{Store: store.ForCatalogue(client)}
	return nil
}

func (c *cli) close() {
	if c.client != nil {
		c.client.Close()
	}
}

func (c *cli) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

// readFile reads and validates the file given by -f. A file that violates the schema
// gives a RefusedError, like an edit that is refused.
func (c *cli) readFile() (catalogue.File, error) {
	if c.file == "" {
		return catalogue.File{}, usagef("no file given; set -f")
	}
	var data []byte
	var err error
	if c.file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(c.file)
	}
	if err != nil {
		return catalogue.File{}, usagef("%v; correct -f", err)
	}
	f, err := catalogue.Parse(data)
	if err != nil {
		return f, &catalogue.RefusedError{Err: err}
	}
	return f, nil
}
