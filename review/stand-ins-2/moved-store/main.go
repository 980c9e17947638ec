// Command moved-store is a case of the review: the settings files name another address of the
// platform's store, and the operator then writes a configuration.
package main

import (
	"context"
	"net/http"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
	"github.com/hemlockscale/hemlockscale/review/stand-ins-2/rig"
)

const (
	service = "listing"
	newHost = "127.250.1.1"
	// stability is stabilityMs of the settings, applyBound is configApplyMs.
	stability  = 4 * time.Second
	applyBound = 3 * time.Second
	// watched is how long calls are made on the new route.
	watched   = 10 * time.Second
	callPause = 200 * time.Millisecond
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	if err := r.Start(2, service, service); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if rig.Trouble() {
		if err := moveStore(r); err != nil {
			return err
		}
	}
	time.Sleep(2 * stability)
	r.MoreRoutes = map[string]string{newHost: service}
	r.Configure()
	time.Sleep(applyBound)
	c, err := r.Caller(0)
	if err != nil {
		return err
	}
	defer c.Close()
	answered, refused := 0, 0
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(callPause) {
		if err := call(c); err != nil {
			if refused == 0 {
				r.Record.Printf("first call on the new route that failed: %v", err)
			}
			refused++
			continue
		}
		answered++
	}
	r.Record.Printf("calls on the new route, from %v after its acknowledgement on: %d answered, %d refused", applyBound, answered, refused)
	if refused > 0 {
		r.Journal.RecordViolation("%d requests sent more than %v after the acknowledgement of a version were refused although it has their route", refused, applyBound)
	}
	r.Balancers[0].RecordLog("configuration", "settings", "reload", "store not available")
	return nil
}

// moveStore gives the store another address: the settings files name it, without a signal, and
// eight seconds later the former address answers every call with 503.
func moveStore(r *rig.Rig) error {
	var former []*platform.Endpoint
	for _, v := range append(r.Balancers[:len(r.Balancers):len(r.Balancers)], r.Agents...) {
		former = append(former, v.Store)
		v.Store = r.Store.NewEndpoint()
		if _, err := v.WriteSettings(); err != nil {
			return err
		}
		r.Record.Printf("%s: settings file names the store at %v", v.Name, v.Store.Addr())
	}
	time.Sleep(8 * time.Second)
	r.Record.Printf("the store's former addresses answer with 503")
	for _, e := range former {
		e.SetFault(platform.Fault{RefuseStatus: http.StatusServiceUnavailable})
	}
	return nil
}

func call(c *platform.Caller) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f, err := c.Open(ctx, rig.HostAddr(newHost))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Request(ctx, "q", service, false, 600)
}
