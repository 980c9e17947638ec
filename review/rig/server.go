package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

const (
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
	maxRetransmissions  = 8
	heartbeatTimeout    = time.Second
)

// Server simulates a backend on a side machine. A request is one packet of data with the
// form "ID SERVICE", its answer one packet with "ok ID SERVER".
type Server struct {
	ID, Service string

	vm       *VM
	record   *Record
	born     time.Time
	interval time.Duration // between two heartbeats
	udp      *net.UDPConn
	http     *http.Server
	stop     chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	sequence int
	flows    map[flowKey]*serverFlow
	refused  int // heartbeats that were answered, but not with 2xx
}

type serverFlow struct {
	first, next, expected uint32
	open, ended           bool
	unacked               *platform.Header
	retryAt               time.Time
	retryAfter            time.Duration
	retries               int
}

// StartServer starts a backend of a service as a new boot on the agent's machine.
func (v *VM) StartServer(service string) (*Server, error) {
	s := &Server{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, vm: v, record: v.rig.Record, born: time.Now(),
		interval: v.rig.options.HeartbeatInterval, stop: make(chan struct{}), flows: make(map[flowKey]*serverFlow),
	}
	app := v.at(appPort)
	var err error
	if s.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", app.String())
	if err != nil {
		s.udp.Close()
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serveStatus)}
	s.done.Go(func() { s.http.Serve(ln) })
	s.done.Go(s.read)
	s.done.Go(s.retransmit)
	go s.heartbeats()
	s.record.Add("server %s of %s starts at %s", s.ID, service, app)
	v.rig.servers = append(v.rig.servers, s)
	return s, nil
}

// Crash ends the server without draining. A crashed server sends nothing.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.udp.Close()
	s.http.Close()
	s.done.Wait()
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != HealthPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Hemlockscale-Instance-Id", s.ID)
	w.WriteHeader(http.StatusOK)
}

// heartbeats sends a heartbeat in every interval, the first one at the end of the first.
func (s *Server) heartbeats() {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			go s.Heartbeat()
		case <-s.stop:
			return
		}
	}
}

// Heartbeat sends the next heartbeat to the agent.
func (s *Server) Heartbeat() {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	status := s.vm.PostHeartbeat(s.ID, s.vm.HeartbeatBody(s.Service, s.born, sequence))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || status == http.StatusOK {
		return
	}
	s.record.Add("server %s of %s: heartbeat %d is not acknowledged (%s)", s.ID, s.Service, sequence, statusText(status))
	if status != 0 {
		s.refused++
	}
}

// HeartbeatBody returns the body of a heartbeat of a server on this machine.
func (v *VM) HeartbeatBody(service string, born time.Time, sequence int) map[string]any {
	body := map[string]any{
		"service": service, "address": v.at(appPort).String(), "zone": zone, "version": "v1", "concurrency": slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence,
	}
	if v.rig.options.Grown {
		body["born"] = born.UnixMilli()
	}
	return body
}

// RefusedHeartbeats returns the number of heartbeats that the agent answered, but not with 2xx.
func (s *Server) RefusedHeartbeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func statusText(status int) string {
	if status == 0 {
		return "no answer"
	}
	return fmt.Sprintf("status %d", status)
}

// PostHeartbeat sends a heartbeat to the agent's control address and returns the status, 0 if
// there is none within a second.
func (v *VM) PostHeartbeat(id string, body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	c := http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(fmt.Sprintf("http://%s/api/instances/%s/heartbeat", v.at(controlPort), id), "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Holds reports whether the server runs and holds the flow of a consumer, open and not ended.
func (s *Server) Holds(consumer, service netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[flowKey{consumer, service}]
	return !s.closed && f != nil && f.open && !f.ended
}

func (s *Server) send(h platform.Header) { s.udp.WriteToUDPAddrPort(h.Encode(), s.vm.at(outboundPort)) }

func (s *Server) read() {
	b := make([]byte, 2048)
	for {
		n, err := s.udp.Read(b)
		if err != nil {
			return
		}
		h, genuine, ok := platform.Decode(b[:n])
		if !ok || !genuine {
			s.record.Add("server %s receives a packet that no consumer sent: %+v", s.ID, h)
			continue
		}
		s.mu.Lock()
		s.handle(h)
		s.mu.Unlock()
	}
}

func (s *Server) handle(h platform.Header) {
	k := flowKey{h.Src, h.Dst}
	f := s.flows[k]
	switch {
	case h.Flags&platform.FlagSyn != 0:
		if f == nil || f.expected != h.Seq+1 {
			f = &serverFlow{first: rand.Uint32(), expected: h.Seq + 1}
			f.next = f.first + 1
			s.flows[k] = f
		}
		s.send(platform.Header{Src: h.Dst, Dst: h.Src, Seq: f.first, Ack: f.expected, Flags: platform.FlagSyn | ackFlag})
	case f == nil || !f.open && h.Ack != f.first+1:
		h.Flags |= platform.FlagBounced
		s.send(h)
	case h.Flags&platform.FlagRst != 0:
		f.ended = true
	case f.ended && len(h.Data) > 0:
		s.send(platform.Header{Src: h.Dst, Dst: h.Src, Seq: f.next, Flags: platform.FlagRst})
	default:
		s.receive(h, k, f)
	}
}

func (s *Server) receive(h platform.Header, k flowKey, f *serverFlow) {
	f.open = true
	if u := f.unacked; u != nil && int32(h.Ack-f.next) >= 0 {
		f.unacked = nil
	}
	switch {
	case len(h.Data) > 0 && h.Seq == f.expected:
		f.expected += uint32(len(h.Data))
		s.ack(k, f)
		s.run(k, f, string(h.Data))
	case len(h.Data) > 0:
		s.ack(k, f)
	case h.Flags&platform.FlagFin != 0 && (f.ended || h.Seq == f.expected):
		if !f.ended {
			f.ended = true
			f.expected++
			s.transmit(f, platform.Header{Src: k.service, Dst: k.consumer, Seq: f.next, Ack: f.expected, Flags: platform.FlagFin | ackFlag})
			f.next++
			return
		}
		s.ack(k, f)
	}
}

func (s *Server) ack(k flowKey, f *serverFlow) {
	s.send(platform.Header{Src: k.service, Dst: k.consumer, Seq: f.next, Ack: f.expected, Flags: ackFlag})
}

// run works on a request and sends its answer.
func (s *Server) run(k flowKey, f *serverFlow, line string) {
	id, service, _ := strings.Cut(line, " ")
	s.record.Add("server %s of %s runs %s, sent to %s", s.ID, s.Service, id, service)
	if service != s.Service {
		s.vm.rig.ranElsewhere(id, service, s)
	}
	s.done.Go(func() {
		select {
		case <-time.After(workTime):
		case <-s.stop:
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		answer := []byte(fmt.Sprintf("ok %s %s", id, s.ID))
		s.transmit(f, platform.Header{Src: k.service, Dst: k.consumer, Seq: f.next, Ack: f.expected, Flags: ackFlag, Data: answer})
		f.next += uint32(len(answer))
	})
}

// transmit sends a packet that is retransmitted until it is acknowledged.
func (s *Server) transmit(f *serverFlow, h platform.Header) {
	f.unacked, f.retryAfter, f.retries = &h, firstRetransmission, 0
	f.retryAt = time.Now().Add(f.retryAfter)
	s.send(h)
}

func (s *Server) retransmit() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
		now := time.Now()
		s.mu.Lock()
		for _, f := range s.flows {
			if f.unacked == nil || now.Before(f.retryAt) || f.retries == maxRetransmissions {
				continue
			}
			f.retries++
			f.retryAfter = min(2*f.retryAfter, maxRetransmission)
			f.retryAt = now.Add(f.retryAfter)
			s.send(*f.unacked)
		}
		s.mu.Unlock()
	}
}
