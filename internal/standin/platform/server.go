package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ServerConfig holds the settings of a backend server.
type ServerConfig struct {
	Service           string
	Zone              string
	App               netip.AddrPort // where it receives packets and status checks
	Outbound          netip.AddrPort // where it sends packets to callers
	Control           netip.AddrPort // where it sends heartbeats
	HeartbeatInterval time.Duration
	RequestDuration   time.Duration
	Slots             int
	Journal           *Journal
}

// Server simulates a backend server. Its flows carry requests of one line each.
type Server struct {
	cfg      ServerConfig
	instance string
	udp      *net.UDPConn
	tcp      *http.Server
	stop     chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	draining time.Time // when it began to report that it is draining
	drained  time.Time // when a heartbeat that reports it was acknowledged
	closed   bool
	leaving  bool // it has begun to deregister, and gives up its flows
	sequence uint64
	accepted int // flows accepted so far
	failure  Failure
	working  int // requests in progress or waiting for a slot
	slots    chan struct{}
}

type serverFlow struct {
	service         netip.AddrPort
	first           uint32 // the server's first sequence number
	next            uint32 // sequence number of the next byte sent
	expected        uint32 // sequence number of the next byte from the caller
	open            bool
	ended           bool
	unacked         []Header
	retransmissions int
	failure         FailureMode // with which the server ended it
}

// Journal records what the servers and callers of a test observe.
type Journal struct {
	mu         sync.Mutex
	runs       map[string]int // how often each request ran, by ID
	violations []string
	openFlows  map[uint32]*Server // by the first sequence number of open flows
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: map[string]int{}, openFlows: map[uint32]*Server{}}
}

// RecordViolation records that the system broke a guarantee.
func (j *Journal) RecordViolation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations recorded so far.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

func (j *Journal) recordRun(id string, once bool) {
	j.mu.Lock()
	j.runs[id]++
	n := j.runs[id]
	j.mu.Unlock()
	if once && n > 1 {
		j.RecordViolation("request %s, which must run once, ran %d times", id, n)
	}
}

// StartServer starts a backend server as a new instance.
func StartServer(cfg ServerConfig) (*Server, error) {
	s := &Server{cfg: cfg, instance: fmt.Sprintf("i-%08x", rand.Uint32()), stop: make(chan struct{}), flows: map[netip.AddrPort]*serverFlow{}, slots: make(chan struct{}, cfg.Slots)}
	var err error
	if s.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.App)); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", cfg.App.String())
	if err != nil {
		s.udp.Close()
		return nil, err
	}
	s.tcp = &http.Server{Handler: http.HandlerFunc(s.status)}
	s.done.Go(func() { s.tcp.Serve(ln) })
	s.done.Go(s.read)
	s.done.Go(s.heartbeatLoop)
	s.done.Go(s.retransmitLoop)
	return s, nil
}

// Crash ends the server without draining or deregistering it.
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
	s.tcp.Close()
	s.done.Wait()
}

// Drain makes the server report from now on that it is draining.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = time.Now()
	s.mu.Unlock()
	s.heartbeat()
}

// Drained reports whether a heartbeat with the state draining was acknowledged.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drained.IsZero()
}

// AcceptedFlows returns the number of flows that the server has accepted.
func (s *Server) AcceptedFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// SetRequestDuration changes the duration of requests that arrive from now on.
func (s *Server) SetRequestDuration(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.RequestDuration = d
}

// Deregister deregisters the server and ends it.
func (s *Server) Deregister() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.postControl("deregister", nil)
	s.Crash()
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Hemlockscale-Instance-Id", s.instance)
	if !s.draining.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) heartbeatLoop() {
	t := time.NewTicker(s.cfg.HeartbeatInterval)
	defer t.Stop()
	for {
		s.heartbeat()
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
	}
}

// heartbeat sends a heartbeat to the agent. The first accepted one in state draining
// acknowledges the drain.
func (s *Server) heartbeat() {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if !s.draining.IsZero() {
		state = "draining"
	}
	body := map[string]any{
		"service": s.cfg.Service, "address": s.cfg.App.String(), "zone": s.cfg.Zone, "version": "v1",
		"concurrency": s.cfg.Slots, "state": state, "coldRemainingMs": 0, "sequence": s.sequence,
	}
	s.mu.Unlock()
	if !s.postControl("heartbeat", body) || state == "ready" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained.IsZero() {
		s.drained = time.Now()
	}
}

// postControl calls the agent's control API and reports whether the agent accepted the call.
func (s *Server) postControl(call string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post(fmt.Sprintf("http://%s/api/instances/%s/%s", s.cfg.Control, s.instance, call), "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *Server) send(h Header) {
	s.udp.WriteToUDPAddrPort(h.Encode(), s.cfg.Outbound)
}

// read handles the packets that arrive until the server is closed.
func (s *Server) read() {
	b := make([]byte, 2048)
	for {
		n, err := s.udp.Read(b)
		if err != nil {
			return
		}
		h, genuine, ok := Decode(b[:n])
		if !ok || !genuine || h.Flags&FlagSyn != 0 && h.Flags&FlagAck != 0 {
			s.cfg.Journal.RecordViolation("server %s received a packet that no caller sent: %+v", s.instance, h)
			continue
		}
		s.mu.Lock()
		s.handlePacket(h)
		s.mu.Unlock()
	}
}

// maxFlowDelayAfterDrain is the time after the acknowledgement of draining in which the
// server may still receive new flows.
const maxFlowDelayAfterDrain = time.Second

// handlePacket processes a packet. A packet of a flow that the server does not hold is sent
// back with FlagBounced.
func (s *Server) handlePacket(h Header) {
	f := s.flows[h.Src]
	switch {
	case h.Flags&FlagSyn != 0:
		if !s.drained.IsZero() && time.Since(s.drained) > maxFlowDelayAfterDrain && f == nil {
			s.cfg.Journal.RecordViolation("new flow %v at server %s %v after draining was acknowledged", h.Src, s.instance, time.Since(s.drained))
		}
		s.openFlow(h, f)
	case f == nil || f.service != h.Dst:
		h.Flags |= FlagBounced
		s.send(h)
	case h.Flags&FlagRst != 0:
		f.ended = true
	case !f.open && h.Ack != f.first+1:
		s.send(Header{Src: h.Dst, Dst: h.Src, Seq: h.Ack, Flags: FlagRst})
	default:
		s.handleFlowPacket(h, f)
	}
}

// openFlow answers the first packet of a flow. A retransmitted first packet keeps the
// flow that it opened, as long as the flow has received no data.
func (s *Server) openFlow(h Header, f *serverFlow) {
	if f == nil || f.expected != h.Seq+1 {
		f = &serverFlow{service: h.Dst, first: rand.Uint32(), expected: h.Seq + 1}
		f.next = f.first + 1
		s.flows[h.Src] = f
		s.accepted++
	}
	s.send(Header{Src: h.Dst, Dst: h.Src, Seq: f.first, Ack: f.expected, Flags: FlagSyn | FlagAck})
}

// handleFlowPacket processes a packet of the flow f after the first: it releases the
// acknowledged data, and runs the request that the packet carries if it is next in sequence.
func (s *Server) handleFlowPacket(h Header, f *serverFlow) {
	if !f.open {
		f.open = true
		j := s.cfg.Journal
		j.mu.Lock()
		j.openFlows[f.first] = s
		j.mu.Unlock()
	}
	remaining := f.unacked[:0]
	for _, u := range f.unacked {
		if int32(u.Seq+uint32(len(u.Data))-h.Ack) > 0 {
			remaining = append(remaining, u)
		}
	}
	f.unacked = remaining
	f.retransmissions = 0
	if h.Flags&FlagFin != 0 {
		f.ended = true
	}
	switch {
	case len(h.Data) == 0:
	case f.failure != NoFailure:
		s.endFlow(h.Src, f, f.failure) // the first packet that ended the flow was lost
	case h.Seq == f.expected:
		f.expected += uint32(len(h.Data))
		s.runRequest(h.Src, f, string(h.Data))
	}
}

// runRequest runs the request in line, which has the form "ID SERVICE ONCE SIZE". It refuses
// the request if too many wait for a slot.
func (s *Server) runRequest(caller netip.AddrPort, f *serverFlow, line string) {
	var id, service string
	var once bool
	var size int
	if _, err := fmt.Sscan(line, &id, &service, &once, &size); err != nil {
		s.cfg.Journal.RecordViolation("server %s received the invalid request %q", s.instance, line)
		return
	}
	if service != s.cfg.Service {
		s.cfg.Journal.RecordViolation("request %s for %s ran at a server of %s", id, service, s.cfg.Service)
	}
	if s.working >= s.cfg.Slots+maxWaitingRequests {
		s.sendAnswer(caller, f, refusedPrefix+id, len(refusedPrefix+id)+1)
		return
	}
	s.cfg.Journal.recordRun(id, once)
	if s.fail(caller, f, id, size) {
		return
	}
	s.working++
	duration := s.cfg.RequestDuration
	s.done.Go(func() {
		if !s.work(duration) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.working--
		s.sendAnswer(caller, f, id, size)
	})
}

// maxWaitingRequests is the number of requests that wait for a slot. Further ones are refused.
const maxWaitingRequests = 16

// work waits for a slot and takes it for the given time. It returns false if the
// server ends before.
func (s *Server) work(duration time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
	case <-s.stop:
		return false
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(duration):
		return true
	case <-s.stop:
		return false
	}
}

const segmentSize = 1000 // bytes

// sendAnswer sends the ID and a newline, padded to size bytes.
func (s *Server) sendAnswer(caller netip.AddrPort, f *serverFlow, id string, size int) {
	body := append([]byte(id+"\n"), bytes.Repeat([]byte("."), max(size-len(id)-1, 0))...)
	for len(body) > 0 {
		n := min(len(body), segmentSize)
		h := Header{Src: f.service, Dst: caller, Seq: f.next, Ack: f.expected, Flags: FlagAck, Data: body[:n]}
		f.next += uint32(n)
		body = body[n:]
		f.unacked = append(f.unacked, h)
		s.send(h)
	}
}

const (
	retransmitInterval = 200 * time.Millisecond
	maxRetransmissions = 8
)

// retransmitLoop retransmits the packets that callers have not acknowledged.
func (s *Server) retransmitLoop() {
	t := time.NewTicker(retransmitInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
		s.mu.Lock()
		for _, f := range s.flows {
			if len(f.unacked) == 0 || f.retransmissions == maxRetransmissions || f.ended {
				continue
			}
			f.retransmissions++
			for _, h := range f.unacked {
				s.send(h)
			}
		}
		s.mu.Unlock()
	}
}

// holds reports whether the server is running and still holds the flow. The agent may report
// the end of a server, and a balancer reset its flows, before the server has the answer to its
// deregistration.
func (s *Server) holds(caller netip.AddrPort, first uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[caller]
	return !s.closed && !s.leaving && f != nil && f.first == first && !f.ended
}
