// Package process is what the programs have in common when they run on the
// users' platform: the settings file, the log on standard output, the store's
// client, and settings that change while the process runs.
package process

import (
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/internal/daemon"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/platform"
)

// Process is one program that runs on the users' platform.
type Process struct {
	Daemon   *daemon.Daemon
	Settings node.Settings
	Store    node.Store
	file     *platform.SettingsFile
}

// Part is the program's own work.
type Part interface {
	daemon.Part
	Ready() bool
	// Apply takes settings that have changed.
	Apply(node.Settings)
	// Beliefs tells what the part believes now.
	Beliefs() node.Snapshot
}

// Open reads the settings file and opens the log and the metrics page.
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

// Run runs part until the process is told to stop. A stop lasts for drain at
// most.
func (p *Process) Run(part Part, drain time.Duration) error {
	p.Daemon.ReadyWhen(part.Ready)
	p.Daemon.ReloadWhen(func() error { return p.reload(part) }, p.file.Changed)
	p.Daemon.Mux.HandleFunc("GET "+node.SnapshotPath, node.ServeSnapshot(part.Beliefs))
	s := &p.Settings
	p.Daemon.Log.Info("started", append(s.Fields(), zap.Stringer("packets", s.Packets), zap.Stringer("store", s.Store))...)
	return p.Daemon.Run(part, drain)
}

// reload puts changed settings in force.
func (p *Process) reload(part Part) error {
	settings, err := p.file.Read()
	if err != nil {
		return err
	}
	if later := p.Settings.ChangesNeedingRestart(&settings); len(later) > 0 {
		p.Daemon.Log.Warn("settings that count from the next start have changed", zap.Strings("settings", later))
	}
	part.Apply(settings)
	p.Daemon.Log.Info("settings in force", settings.Fields()...)
	return nil
}
