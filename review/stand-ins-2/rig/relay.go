package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
)

// ControlRelay passes a backend server's calls on to its agent's control address. While it holds
// calls back, they get no answer, and arrive at the agent when they are released, in order, also
// if their sender has ended by then.
type ControlRelay struct {
	rig     *Rig
	control netip.AddrPort
	http    *http.Server

	mu      sync.Mutex
	holding bool
	held    []controlCall
	ended   chan struct{} // closed when the sender has crashed
}

type controlCall struct {
	path string
	body []byte
}

// String names the call in the record: the instance, the call, its sequence number and state.
func (c controlCall) String() string {
	var b struct {
		State    string `json:"state"`
		Sequence int    `json:"sequence"`
	}
	json.Unmarshal(c.body, &b) // a deregistration has no body
	return fmt.Sprintf("%s sequence %d %s", strings.TrimPrefix(c.path, "/api/instances/"), b.Sequence, b.State)
}

// StartControlRelay starts the i-th relay, to the agent of v. holding is whether it holds calls
// back from the start.
func (v *VM) StartControlRelay(i int, holding bool) (*ControlRelay, error) {
	ln, err := net.Listen("tcp4", v.rig.RelayAddr(i).String())
	if err != nil {
		return nil, err
	}
	r := &ControlRelay{rig: v.rig, control: v.At(ControlPort), holding: holding, ended: make(chan struct{})}
	r.http = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.http.Serve(ln)
	return r, nil
}

func (r *ControlRelay) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	c := controlCall{path: req.URL.Path, body: body}
	r.mu.Lock()
	holding := r.holding
	select {
	case <-r.ended:
		r.mu.Unlock()
		return
	default:
	}
	if holding {
		r.held = append(r.held, c)
	}
	r.mu.Unlock()
	if holding {
		r.rig.Record.Printf("delayed on the way: %v", c)
		select {
		case <-req.Context().Done():
		case <-r.ended:
		}
		return
	}
	w.WriteHeader(r.deliver("delivered", c))
}

// Hold holds back the calls that arrive from now on.
func (r *ControlRelay) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holding = true
}

// SenderCrashed drops the calls that arrive from now on: a crashed server sends nothing. What is
// held back is still on its way.
func (r *ControlRelay) SenderCrashed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.ended)
}

// Held returns the number of calls held back.
func (r *ControlRelay) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// deliver passes a call on and returns the status of the agent's answer.
func (r *ControlRelay) deliver(how string, c controlCall) int {
	resp, err := http.Post(fmt.Sprintf("http://%v%s", r.control, c.path), "application/json", bytes.NewReader(c.body))
	if err != nil {
		r.rig.Record.Printf("%s: %v: %v", how, c, err)
		return http.StatusBadGateway
	}
	resp.Body.Close()
	r.rig.Record.Printf("%s: %v: answered with status %d", how, c, resp.StatusCode)
	return resp.StatusCode
}

// Release delivers the calls held back so far, and holds back no more.
func (r *ControlRelay) Release() {
	r.mu.Lock()
	held := r.held
	r.held, r.holding = nil, false
	r.mu.Unlock()
	for _, c := range held {
		r.deliver("delivered late", c)
	}
}
