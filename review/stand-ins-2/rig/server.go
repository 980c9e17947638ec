package rig

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

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Server is a backend server that keeps an open flow when a late copy of the flow's first packet
// arrives: it answers the copy as it answered the first one. Packets of flows that it does not hold
// are sent back with the flag BOUNCED. It does nothing else that the platform's pages don't say.
type Server struct {
	vm       *VM
	instance string
	udp      *net.UDPConn
	http     *http.Server
	stop     chan struct{}
	done     sync.WaitGroup

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow // by caller
	sequence int                            // of the latest heartbeat
}

// serverFlow is one flow that a Server holds.
type serverFlow struct {
	service  netip.AddrPort
	opener   uint32 // sequence number of the caller's first packet
	first    uint32 // sequence number of the server's first packet
	next     uint32 // sequence number of the next byte sent
	expected uint32 // sequence number of the next byte from the caller
	open     bool
	answer   []platform.Header // latest answer, sent again if its request is repeated
}

// StartSoundServer starts a Server beside the agent.
func (v *VM) StartSoundServer() (*Server, error) {
	s := &Server{vm: v, instance: fmt.Sprintf("i-%08x", rand.Uint32()), stop: make(chan struct{}), flows: map[netip.AddrPort]*serverFlow{}}
	var err error
	if s.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v.At(AppPort))); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp4", v.At(AppPort).String())
	if err != nil {
		s.udp.Close()
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Hemlockscale-Instance-Id", s.instance)
	})}
	s.done.Go(func() { s.http.Serve(ln) })
	s.done.Go(s.read)
	s.done.Go(s.sendHeartbeats)
	return s, nil
}

// Close ends the server.
func (s *Server) Close() {
	close(s.stop)
	s.udp.Close()
	s.http.Close()
	s.done.Wait()
}

// OpenFlows returns the number of open flows that the server holds.
func (s *Server) OpenFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.flows {
		if f.open {
			n++
		}
	}
	return n
}

// Holds reports whether the server holds a flow of the caller that is open.
func (s *Server) Holds(caller netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[caller]
	return f != nil && f.open
}

func (s *Server) sendHeartbeats() {
	client := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%v/api/instances/%s/heartbeat", s.vm.At(ControlPort), s.instance)
	for {
		s.sequence++
		body, err := json.Marshal(map[string]any{
			"service": s.vm.Service, "address": s.vm.At(AppPort).String(), "zone": "zone-a", "version": "v1",
			"concurrency": 5, "state": "ready", "coldRemainingMs": 0, "sequence": s.sequence,
		})
		if err != nil {
			panic(err)
		}
		if resp, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (s *Server) send(h platform.Header) {
	s.udp.WriteToUDPAddrPort(h.Encode(), s.vm.At(OutboundPort))
}

func (s *Server) read() {
	b := make([]byte, 2048)
	for {
		n, err := s.udp.Read(b)
		if err != nil {
			return
		}
		h, genuine, ok := platform.Decode(b[:n])
		if !ok || !genuine {
			s.vm.rig.Journal.RecordViolation("server %s received a packet that no caller sent: %+v", s.instance, h)
			continue
		}
		s.mu.Lock()
		s.receive(h)
		s.mu.Unlock()
	}
}

// receive processes one packet of a caller.
func (s *Server) receive(h platform.Header) {
	f := s.flows[h.Src]
	switch {
	case h.Flags&platform.FlagSyn != 0:
		s.receiveFirst(h, f)
	case f == nil || f.service != h.Dst, !f.open && h.Ack != f.first+1:
		h.Flags |= platform.FlagBounced
		s.send(h)
	case h.Flags&platform.FlagRst != 0:
		delete(s.flows, h.Src)
	case h.Flags&platform.FlagFin != 0:
		s.send(platform.Header{Src: f.service, Dst: h.Src, Seq: f.next, Ack: h.Seq + 1, Flags: platform.FlagFin | platform.FlagAck})
		delete(s.flows, h.Src)
	default:
		f.open = true
		s.receiveData(h, f)
	}
}

func (s *Server) receiveFirst(h platform.Header, f *serverFlow) {
	if f == nil || f.opener != h.Seq || f.service != h.Dst {
		f = &serverFlow{service: h.Dst, opener: h.Seq, first: rand.Uint32(), expected: h.Seq + 1}
		f.next = f.first + 1
		s.flows[h.Src] = f
	}
	s.send(platform.Header{Src: f.service, Dst: h.Src, Seq: f.first, Ack: f.opener + 1, Flags: platform.FlagSyn | platform.FlagAck})
}

// receiveData runs the request that a packet carries, "ID SERVICE ONCE SIZE", and answers with its
// ID and a newline, padded to SIZE bytes.
func (s *Server) receiveData(h platform.Header, f *serverFlow) {
	switch {
	case len(h.Data) == 0:
		return
	case h.Seq != f.expected:
		for _, a := range f.answer {
			s.send(a)
		}
		return
	}
	f.expected += uint32(len(h.Data))
	var id, service string
	var once bool
	var size int
	if _, err := fmt.Sscan(string(h.Data), &id, &service, &once, &size); err != nil || service != s.vm.Service {
		s.vm.rig.Journal.RecordViolation("server %s of service %s ran the request %q", s.instance, s.vm.Service, h.Data)
		return
	}
	body := append([]byte(id+"\n"), bytes.Repeat([]byte("."), max(size-len(id)-1, 0))...)
	answer := platform.Header{Src: f.service, Dst: h.Src, Seq: f.next, Ack: f.expected, Flags: platform.FlagAck, Data: body}
	f.next += uint32(len(body))
	f.answer = []platform.Header{answer}
	s.send(answer)
}
