package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/flow"
	"github.com/hemlockscale/hemlockscale/internal/node"
	"github.com/hemlockscale/hemlockscale/internal/store"
	"github.com/hemlockscale/hemlockscale/internal/transfer"
	"github.com/hemlockscale/hemlockscale/platform"
)

// maxSnapshotBytes is the largest size of a process's state snapshot in bytes, enough
// for several hundred agents.
const maxSnapshotBytes = 1 << 20

func platformFlags(fs *flag.FlagSet, s *settings) {
	fs.StringVar(&s.nodes, "nodes", "", "admin addresses of processes whose state snapshot is shown, as address:port,address:port")
}

// platformView is the output of platform: the contents of the platform's store and the
// state snapshots of processes.
type platformView struct {
	Revision  uint64           `json:"revision"`
	Routes    int              `json:"routes"`
	Evacuated []evacuationView `json:"evacuated"`         // sorted by name
	Refused   []string         `json:"refused,omitempty"` // parts of the configuration that can't be parsed
	Error     string           `json:"error,omitempty"`   // from reading the store
	Keys      []node.Peer      `json:"keys"`
	Nodes     []nodeSnapshot   `json:"nodes"`
}

// evacuationView is an evacuated availability zone, which gets no new flows.
type evacuationView struct {
	Zone  string `json:"zone"`
	Since uint64 `json:"since_revision"` // store revision at which the evacuation was ordered
}

// evacuatedIDs returns the IDs of the evacuated zones as in state snapshots, sorted.
func (v *platformView) evacuatedIDs() []uint32 {
	var ids []uint32
	for _, e := range v.Evacuated {
		ids = append(ids, flow.ZoneID(e.Zone))
	}
	slices.Sort(ids)
	return ids
}

// nodeSnapshot is the state snapshot of one process and its state compared with the
// store.
type nodeSnapshot struct {
	Address  string        `json:"address"`
	Snapshot node.Snapshot `json:"beliefs"`
	State    string        `json:"state"`
	Error    string        `json:"error,omitempty"`
}

var errNotAllInForce = errors.New("not every process is reachable, ready and at the store's configuration; see the table")

// platform shows the state of a system on the users' platform. It changes nothing.
func (c *cli) platform(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	addr, err := storeAddress(c.storeURL)
	if err != nil {
		return err
	}
	v := readPlatform(ctx, platform.NewStore(platform.StoreConfig{Address: addr}))
	v.Nodes = fetchSnapshots(ctx, strings.FieldsFunc(c.nodes, func(r rune) bool { return r == ',' || r == ' ' }))
	allInForce := v.Error == "" && len(v.Refused) == 0
	for i := range v.Nodes {
		n := &v.Nodes[i]
		n.State = n.stateAgainst(&v)
		allInForce = allInForce && (n.State == stateInForce || n.State == flow.ServerReady.String() || n.State == flow.ServerEvacuated.String())
	}
	if err := c.showPlatform(&v); err != nil {
		return err
	}
	if !allInForce {
		return errNotAllInForce
	}
	return nil
}

func storeAddress(s string) (netip.AddrPort, error) {
	u, err := url.Parse(s)
	if err == nil {
		if a, err := netip.ParseAddrPort(u.Host); err == nil {
			return a, nil
		}
	}
	return netip.AddrPort{}, usagef("-store %q is not a URL with an IP address and a port; write it like http://10.200.1.7:8169", s)
}

func readPlatform(ctx context.Context, s node.Store) (v platformView) {
	value, err := s.Get(ctx, platform.ConfigKey)
	if err != nil {
		v.Error = err.Error()
		return v
	}
	routes, refused := platform.ParseConfig(value.Data)
	for _, err := range refused {
		v.Refused = append(v.Refused, err.Error())
	}
	if routes != nil {
		v.Revision, v.Routes = routes.Revision, routes.Len()
	}
	keys := platform.OrderKeys()
	items, err := s.List(ctx, keys.Prefix, false)
	if err != nil {
		v.Error = err.Error()
		return v
	}
	for _, i := range items {
		if zone, ok := keys.Zone(i.Key); ok {
			v.Evacuated = append(v.Evacuated, evacuationView{zone, store.RevisionOf(i.Version)})
		}
	}
	if items, err = s.List(ctx, node.PeersPrefix, false); err != nil {
		v.Error = err.Error()
		return v
	}
	for _, i := range items {
		v.Keys = append(v.Keys, parsePeer(i))
	}
	return v
}

// parsePeer decodes the value of a process's key. For a value that can't be decoded the
// role names the key.
func parsePeer(i store.Item) node.Peer {
	var p node.Peer
	if json.Unmarshal(i.Data, &p) != nil {
		p.Role = node.Role("unreadable key " + i.Key)
	}
	return p
}

func fetchSnapshots(ctx context.Context, addresses []string) []nodeSnapshot {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	nodes := make([]nodeSnapshot, len(addresses))
	tokens := make(chan struct{}, maxParallelRequests)
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			tokens <- struct{}{}
			nodes[i].Address = a
			if err := getJSON(ctx, client, "http://"+a+node.SnapshotPath, maxSnapshotBytes, &nodes[i].Snapshot); err != nil {
				nodes[i].Error = err.Error()
			}
			<-tokens
		})
	}
	wg.Wait()
	return nodes
}

// getJSON decodes at most limit bytes of a process's page into out.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, out any) error {
	ctx, e := transfer.Begin(ctx, transfer.Limits{ResponseTimeout: responseTimeout, ProgressTimeout: responseTimeout})
	defer e.End()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return transfer.Err(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	body := e.Body(resp.Body, resp.ContentLength)
	return transfer.Err(ctx, json.NewDecoder(io.LimitReader(body, limit)).Decode(out))
}

// stateAgainst returns the state of a process compared with the store.
func (n *nodeSnapshot) stateAgainst(v *platformView) string {
	b := n.Snapshot.Balancer
	switch {
	case n.Error != "":
		return stateUnreachable
	case n.Snapshot.Agent != nil:
		return n.Snapshot.Agent.State
	case b == nil:
		return "no beliefs"
	case !b.Ready:
		return "not ready"
	case v.Error != "":
		return stateNoStore
	case b.Revision < v.Revision:
		return stateBehind
	case b.Revision > v.Revision:
		return stateAhead
	case !slices.Equal(b.Evacuated, v.evacuatedIDs()):
		return stateBehind
	}
	return stateInForce
}

func (c *cli) showPlatform(v *platformView) error {
	if c.output == outJSON {
		return writeJSON(c.out, v)
	}
	if v.Error != "" {
		fmt.Fprintln(c.out, "store:", v.Error)
	} else {
		fmt.Fprintf(c.out, "store: configuration %d with %d routes, %d keys\n", v.Revision, v.Routes, len(v.Keys))
	}
	for _, e := range v.Evacuated {
		fmt.Fprintf(c.out, "evacuated: zone %s since revision %d of the store\n", e.Zone, e.Since)
	}
	for _, r := range v.Refused {
		fmt.Fprintln(c.out, "refused:", r)
	}
	var keys []string
	for _, p := range v.Keys {
		keys = append(keys, row(p.Addr, p.Role, p.Zone, p.Service))
	}
	if err := table(c.out, "KEY OF\tROLE\tZONE\tSERVICE", keys); err != nil || len(v.Nodes) == 0 {
		return err
	}
	var rows []string
	for i := range v.Nodes {
		rows = append(rows, v.Nodes[i].rows()...)
	}
	return table(c.out, "\nASKED\tVM\tROLE\tSTATE\tDETAILS", rows)
}

// rows returns the row of a process and, for a balancer, one for each agent that it
// does not consider ready.
func (n *nodeSnapshot) rows() []string {
	firstRow := func(details string) string {
		return row(n.Address, n.Snapshot.VM, n.Snapshot.Role, n.State, details)
	}
	if n.Error != "" {
		return []string{firstRow(n.Error)}
	}
	if a := n.Snapshot.Agent; a != nil {
		return []string{firstRow(fmt.Sprintf("instance %s, heartbeat %d %s, %d requests on %d slots, %d queued, %d flows", a.Instance, a.Sequence, formatAge(a.HeartbeatAge), a.Requests, a.Slots, a.Queued, a.Flows))}
	}
	b := n.Snapshot.Balancer
	if b == nil {
		return []string{firstRow("")}
	}
	list := []string{firstRow(fmt.Sprintf("configuration %d, orders %s, %d zones evacuated, store read %s, %d agents, %d failed, all agents known: %t, %d flows", b.Revision, store.FormatVersion(b.Orders), len(b.Evacuated), formatAge(b.ReadAge), len(b.Agents), len(b.Failed), b.Complete, b.Flows))}
	for _, a := range b.Agents {
		if a.State != "ready" || a.Unresponsive {
			list = append(list, row("", "", "", "", fmt.Sprintf("agent %v: %s, unresponsive: %t, last report %s", a.Addr, a.State, a.Unresponsive, formatAge(a.Age))))
		}
	}
	return list
}

// formatAge formats an age; a negative age means that the event has not happened.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(time.Millisecond).String() + " ago"
}
