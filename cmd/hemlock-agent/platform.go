package main

import (
	"errors"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/flowagent"
	"github.com/hemlockscale/hemlockscale/internal/process"
	"github.com/hemlockscale/hemlockscale/internal/settings"
	"github.com/hemlockscale/hemlockscale/platform"
)

// shutdownTimeout limits the stop of an agent, in which it notifies the balancers and
// deregisters.
const shutdownTimeout = time.Second

// servePlatform runs an agent for the packet flows of the users' platform.
func servePlatform(cfg daemon.Config) error {
	p, err := process.Open(cfg)
	var settingsErr *platform.SettingsError
	if errors.As(err, &settingsErr) {
		settings.Exit(program, err)
	}
	if err != nil {
		return err
	}
	a, err := flowagent.New(flowagent.Config{
		Settings:    p.Settings,
		Codec:       platform.Packets{},
		Store:       p.Store,
		Control:     platform.ControlHandler,
		Readiness:   platform.ReadinessHandler,
		CheckServer: platform.CheckServer,
		Traces:      p.Daemon.Traces,
	}, p.Daemon.Log, p.Daemon.Registry)
	if err != nil {
		return err
	}
	return p.Run(a, shutdownTimeout)
}
