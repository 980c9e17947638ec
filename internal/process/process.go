// Package process implements what the programs share when they run on the
// users' platform: the settings file, the log on standard output, the store
// client, and the reload of changed settings.
package process

import (
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/platform"
)

// Process is one running program on the users' platform.
type Process struct {
	Daemon   *daemon.Daemon
	Settings node.Settings
	Store    node.Store
	file     *platform.SettingsFile
}

// Part is the program's own part of the process, such as the balancer or the agent.
type Part interface {
	daemon.Part
	Ready() bool
	// Apply applies changed settings.
	Apply(node.Settings)
	// Snapshot returns the state as the part knows it now.
	Snapshot() node.Snapshot
}

// Open reads the settings file and opens the log and the admin pages.
func Open(cfg daemon.Config) (*Process, error) {
	file, settings, err := platform.OpenSettings()
	if err != nil {
		return nil, err
	}
	cfg.Output = os.Stdout
	cfg.Trace.Zone = settings.Zone
	d, err := daemon.New(cfg)
	if err != nil {
		return nil, err
	}
	calls := node.NewStoreCalls(d.Log, d.Registry)
	return &Process{
		Daemon:   d,
		Settings: settings,
		Store:    platform.NewStore(platform.StoreConfig{Address: settings.Store, CallDone: calls.Record}),
		file:     file,
	}, nil
}

// Run runs part until a signal stops the process or part fails. After a stop signal,
// part is drained for at most drain.
func (p *Process) Run(part Part, drain time.Duration) error {
	p.Daemon.SetReadyFunc(part.Ready)
	p.Daemon.OnReload(func() error { return p.reload(part) }, p.file.Changed)
	p.Daemon.Mux.HandleFunc("GET "+node.SnapshotPath, node.ServeSnapshot(part.Snapshot))
	s := &p.Settings
	p.Daemon.Log.Info("started", append(s.Fields(), zap.Stringer("packets", s.Packets), zap.Stringer("store", s.Store))...)
	return p.Daemon.Run(part, drain)
}

// reload reads the settings file again and applies the settings to part. It logs the
// changed settings that need a restart.
func (p *Process) reload(part Part) error {
	settings, err := p.file.Read()
	if err != nil {
		return err
	}
	if later := p.Settings.ChangesNeedingRestart(&settings); len(later) > 0 {
		p.Daemon.Log.Warn("changed settings take effect only after a restart", zap.Strings("settings", later))
	}
	part.Apply(settings)
	p.Daemon.Log.Info("settings in force", settings.Fields()...)
	return nil
}
