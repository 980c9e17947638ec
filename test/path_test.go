package test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// kanatpar returns a small fleet of an exchange, with an interactive and a download service.
func kanatpar() fleet.Config {
	return fleet.Config{
		Balancers: 3,
		Seed:      1,
		Services: []fleet.Service{
			{Name: "listing", Owner: "exchange", Class: catalogue.ClassInteractive, Backends: 2},
			{Name: "records", Owner: "archive", Class: catalogue.ClassDownload, Backends: 2},
		},
	}
}

// TestWholePath checks that short requests, feeds and downloads are answered through a fabric that
// sends each packet to any of three balancers.
func TestWholePath(t *testing.T) {
	f := fleet.Start(t, kanatpar())
	ctx, cancel := context.WithTimeout(context.Background(), fleet.WaitLimit)
	defer cancel()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			c := f.Caller("listing")
			for n := range 5 {
				if a, err := c.Card(ctx, fmt.Sprint(i, "-", n)); err != nil || a.Status != 200 {
					t.Errorf("card: %v %v", a, err)
				}
			}
			if a, err := c.Reserve(ctx, fmt.Sprint("key-", i), "part"); err != nil || a.Status != 201 {
				t.Errorf("reserve: %v %v", a, err)
			}
			if _, err := c.Feed(ctx, 50, 5*time.Millisecond, uint64(i), nil); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() {
			if _, err := f.Caller("records").Download(ctx, 2<<20, uint64(i), nil); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
}

// TestAgentFindsBalancersBySlots starts an agent without configured balancers, which reads a
// contact slot in the platform's store.
func TestAgentFindsBalancersBySlots(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	f.StartAgentBySlots(fleet.Service{Name: "listing"})
	f.WaitReady()
}
