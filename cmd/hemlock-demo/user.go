package main

import (
	"context"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/standin/deployment"
)

// user is one user's deployment and the load on it.
type user struct {
	name string
	cfg  deployment.Config
	dep  *deployment.Deployment
	load *load
	// drainedServer is the backend server that is drained during the run.
	drainedServer string
	propagation   time.Duration // from the response to the edit until it is in force on all balancers
}

func newUser(name string, cfg deployment.Config) *user {
	return &user{name: name, cfg: cfg}
}

func (u *user) start() (err error) {
	if u.dep, err = deployment.Start(u.cfg); err != nil {
		return err
	}
	u.load = newLoad(u.dep, u.cfg.Services)
	return u.dep.WaitReady(readyTimeout)
}

func (u *user) close() {
	if u.dep != nil {
		u.dep.Close()
	}
}

// edit raises a limit and measures the time until the edit is in force on all balancers.
func (u *user) edit(ctx context.Context) error {
	c, _, _, err := catalogue.Load(ctx, u.dep.Editor.Store)
	if err != nil {
		return err
	}
	e, _ := c.Entry(u.cfg.Services[0].Name)
	e.Limits.Queue = 2 * catalogue.DefaultQueue
	accepted, err := u.dep.Editor.Apply(ctx, catalogue.Edit{Editor: "demo", Put: []catalogue.Entry{e}})
	if err != nil {
		return err
	}
	start := time.Now()
	for !u.inForce(accepted.Revision) {
		if time.Since(start) > readyTimeout {
			return &deployment.TimeoutError{Limit: readyTimeout}
		}
		time.Sleep(time.Millisecond)
	}
	u.propagation = time.Since(start)
	return nil
}

// inForce reports whether every balancer has applied at least the revision.
func (u *user) inForce(revision uint64) bool {
	for _, b := range u.dep.Balancers {
		if b.Revision() < revision {
			return false
		}
	}
	return true
}

// drainAgent starts a graceful stop in the background; the stop completes when the
// agent's flows have ended.
func (u *user) drainAgent(ctx context.Context) error {
	a := u.dep.Agents[0]
	u.drainedServer = a.Backend.Name()
	u.load.runInBackground(func() { a.Stop(ctx) })
	return nil
}

func (u *user) replaceBalancer(ctx context.Context) error {
	if _, err := u.dep.AddBalancer(); err != nil {
		return err
	}
	u.load.runInBackground(func() { u.dep.StopBalancer(ctx, u.dep.Balancers[0]) })
	return nil
}

func (u *user) killBalancer(context.Context) error {
	u.dep.Balancers[1].Kill()
	return nil
}
