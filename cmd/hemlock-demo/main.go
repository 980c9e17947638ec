// Command hemlock-demo runs small deployments of both users in one process and, while
// feeds and downloads are open, makes planned changes and kills a balancer. It prints a
// table of the results, and exits with code 1 if a check failed.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/internal/standin/deployment"
)

const (
	program      = "hemlock-demo"
	readyTimeout = 15 * time.Second
	exitFailed   = 1
)

// config holds the validated settings.
type config struct {
	run   time.Duration
	seed  uint64
	level string
}

func main() {
	cfg, err := parse(os.Args[1:])
	if err != nil {
		settings.Exit(program, err)
	}
	passed, err := runDemo(cfg)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(exitFailed)
	}
	if !passed {
		os.Exit(exitFailed)
	}
}

func parse(args []string) (cfg config, err error) {
	s := settings.New(program, "HEMLOCK_DEMO", "runs callers, balancers, agents and backend servers in one process")
	s.DurationVar(&cfg.run, "run", 12*time.Second, "how long the load runs, at least 6s")
	s.Uint64Var(&cfg.seed, "seed", 1, "seed of the simulated network's random choices")
	s.StringVar(&cfg.level, "log-level", "error", "debug, info, warn or error")
	if err = s.Parse(args); err != nil {
		return cfg, err
	}
	if cfg.run < 6*time.Second {
		return cfg, &settings.Error{Setting: "run", Reason: "too short for the planned changes", Remedy: "give 6s or more"}
	}
	return cfg, nil
}

// kanatpar returns the deployment of the aircraft parts exchange: four availability zones.
func kanatpar(seed uint64, log *zap.Logger) deployment.Config {
	return deployment.Config{
		Seed: seed, Log: log, Balancers: 4,
		Zones: []string{"etimesgut-a", "etimesgut-b", "odtu-tekno", "sincan-dc"},
		Services: []deployment.Service{
			{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 7, RequestDuration: 5 * time.Millisecond},
			{Name: "records", Owner: "archive", Class: catalogue.ClassDownload, Backends: 4, RequestDuration: 5 * time.Millisecond},
		},
	}
}

// bocina returns the deployment of the voice skill store: three availability zones.
func bocina(seed uint64, log *zap.Logger) deployment.Config {
	return deployment.Config{
		Seed: seed, Log: log, Balancers: 3,
		Zones: []string{"qro-a", "qro-b", "qro-c"},
		Services: []deployment.Service{
			{Name: "catalogo", Owner: "skills", Class: catalogue.ClassInteractive, Backends: 7, RequestDuration: 5 * time.Millisecond},
			{Name: "paquetes", Owner: "packages", Class: catalogue.ClassDownload, Backends: 3, RequestDuration: 5 * time.Millisecond},
		},
	}
}

func runDemo(cfg config) (passed bool, err error) {
	log, err := daemon.NewLog("demo", cfg.level)
	if err != nil {
		return false, err
	}
	users := []*user{
		newUser("Kanatpar", kanatpar(cfg.seed, log)),
		newUser("Tienda Bocina Voz", bocina(cfg.seed, log)),
	}
	start := time.Now()
	logf := func(format string, args ...any) {
		fmt.Printf("%5.1fs  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
	for _, u := range users {
		defer u.close()
		if err := u.start(); err != nil {
			return false, err
		}
		logf("%s: %d balancers, %d agents ready", u.name, len(u.dep.Balancers), len(u.dep.Agents))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*cfg.run)
	defer cancel()
	for _, u := range users {
		u.load.start(ctx, cfg.run)
	}
	if err := runSteps(ctx, users, cfg.run, logf); err != nil {
		return false, err
	}
	for _, u := range users {
		u.load.wait()
	}
	logf("load ended")
	return report(os.Stdout, users), nil
}

// runSteps makes the planned changes and kills a balancer, spread over the load's
// duration.
func runSteps(ctx context.Context, users []*user, run time.Duration, logf func(string, ...any)) error {
	steps := []struct {
		what string
		do   func(*user, context.Context) error
	}{
		{"edits a catalogue entry", (*user).edit},
		{"drains an agent and its backend server", (*user).drainAgent},
		{"adds a balancer and retires another", (*user).replaceBalancer},
		{"loses a balancer without warning", (*user).killBalancer},
	}
	pause := run / time.Duration(len(steps)+2)
	for _, step := range steps {
		time.Sleep(pause)
		for _, u := range users {
			logf("%s %s", u.name, step.what)
			if err := step.do(u, ctx); err != nil {
				return err
			}
		}
	}
	return nil
}
