package main

import (
	"errors"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/flowbalancer"
	"github.com/hemlockscale/hemlockscale/internal/process"
	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/platform"
)

// shutdownMargin is the part of the platform's grace period that a stop leaves unused,
// so that the process exits before the platform kills it.
const shutdownMargin = time.Second

// servePlatform runs a balancer for the packet flows of the users' platform.
func servePlatform(cfg daemon.Config) error {
	p, err := process.Open(cfg)
	var settingsErr *platform.SettingsError
	if errors.As(err, &settingsErr) {
		settings.Exit(program, err)
	}
	if err != nil {
		return err
	}
	b, err := flowbalancer.New(flowbalancer.Config{
		Settings:    p.Settings,
		Codec:       platform.Packets{},
		Store:       p.Store,
		Orders:      platform.OrderKeys(),
		ParseConfig: platform.ParseConfig,
		Readiness:   platform.ReadinessHandler,
		Traces:      p.Daemon.Traces,
	}, p.Daemon.Log, p.Daemon.Registry)
	if err != nil {
		return err
	}
	return p.Run(b, max(p.Settings.Grace-shutdownMargin, shutdownMargin))
}
