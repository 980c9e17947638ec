package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
)

// responseTimeout limits the time until a process starts to respond, and the time for
// each step of its response (see transfer.Limits).
const responseTimeout = 2 * time.Second

// maxStatusBytes is the largest size of a balancer's status page in bytes.
const maxStatusBytes = 64 << 10

// maxParallelRequests is the number of processes queried at the same time.
const maxParallelRequests = 32

// States of a process compared with the store.
const (
	stateInForce         = "in force"
	stateBehind          = "behind"
	stateAhead           = "ahead of the store"
	stateChecksumDiffers = "other checksum"
	stateUnreachable     = "unreachable"
	stateNoStore         = "store not read"
)

// nodeStatus is a balancer's response to GET /catalogue and its state compared with
// the store.
type nodeStatus struct {
	Address  string             `json:"address"`
	Node     string             `json:"node"`
	Role     string             `json:"role"`
	Zone     string             `json:"zone"`
	Revision uint64             `json:"revision"`
	Checksum catalogue.Checksum `json:"checksum"`
	State    string             `json:"state"`
	Error    string             `json:"error,omitempty"`
}

// statusView is the output of status: the store's head and the state of every balancer.
type statusView struct {
	Store catalogue.Digest `json:"store"`
	Error string           `json:"error,omitempty"` // from reading the store
	Nodes []nodeStatus     `json:"nodes"`
}

func (c *cli) status(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	var v statusView
	h, _, err := catalogue.ReadHead(ctx, c.editor.Store)
	if err != nil {
		v.Error = err.Error()
	}
	v.Store = h.Digest()
	v.Nodes = fetchStatuses(ctx, strings.FieldsFunc(c.balancers, func(r rune) bool { return r == ',' || r == ' ' }))
	allInForce := err == nil
	for i := range v.Nodes {
		v.Nodes[i].State = compareToStore(v.Nodes[i], v.Store, err == nil)
		allInForce = allInForce && v.Nodes[i].State == stateInForce
	}
	if err := c.showStatus(v); err != nil {
		return err
	}
	if !allInForce {
		return errNotInForce
	}
	return nil
}

// compareToStore returns the state of a process compared with the store's digest, which
// is valid only if storeRead is true.
func compareToStore(n nodeStatus, store catalogue.Digest, storeRead bool) string {
	switch {
	case n.Error != "":
		return stateUnreachable
	case !storeRead:
		return stateNoStore
	case n.Revision < store.Revision:
		return stateBehind
	case n.Revision > store.Revision:
		return stateAhead
	case n.Checksum != store.Checksum:
		return stateChecksumDiffers
	}
	return stateInForce
}

// fetchStatuses queries all balancers, at most maxParallelRequests at a time.
func fetchStatuses(ctx context.Context, addresses []string) []nodeStatus {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	nodes := make([]nodeStatus, len(addresses))
	tokens := make(chan struct{}, maxParallelRequests)
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			tokens <- struct{}{}
			nodes[i] = fetchStatus(ctx, client, a)
			<-tokens
		})
	}
	wg.Wait()
	return nodes
}

func fetchStatus(ctx context.Context, client *http.Client, address string) nodeStatus {
	n := nodeStatus{Address: address}
	if err := getJSON(ctx, client, "http://"+address+"/catalogue", maxStatusBytes, &n); err != nil {
		n.Error = err.Error()
	}
	n.Address = address
	return n
}

func (c *cli) showStatus(v statusView) error {
	if c.output == outJSON {
		return writeJSON(c.out, v)
	}
	if v.Error != "" {
		fmt.Fprintln(c.out, "store:", v.Error)
	} else {
		fmt.Fprintf(c.out, "store: revision %d, checksum %s\n", v.Store.Revision, v.Store.Checksum)
	}
	rows := make([]string, len(v.Nodes))
	for i, n := range v.Nodes {
		rows[i] = row(n.Address, n.Node, n.Role, n.Zone, n.Revision, n.Checksum, n.State)
	}
	return table(c.out, "ADDRESS\tNODE\tROLE\tZONE\tREVISION\tCHECKSUM\tSTATE", rows)
}
