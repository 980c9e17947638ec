package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/standin/platform"
)

// Outcome is how a try ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Reset            // a reset of the system's own; on an open flow or before it opened
	ServerReset
	NoAnswer
)

func (o Outcome) String() string {
	return [...]string{"answered", "reset by the system", "reset by the server", "no answer"}[o]
}

// firstPacketTimes are the times after which a first packet and its copies are sent.
var firstPacketTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openTimeout = 1400 * time.Millisecond

// Consumer opens flows from one address.
type Consumer struct {
	addr netip.Addr
	rig  *Rig
	udp  *net.UDPConn
	done sync.WaitGroup

	mu    sync.Mutex
	flows map[flowKey]*Flow
	port  uint16
}

// NewConsumer returns a consumer at the i-th address for consumers.
func (r *Rig) NewConsumer(i int) (*Consumer, error) {
	c := &Consumer{addr: r.net.Addr(consumerNet, i), rig: r, flows: make(map[flowKey]*Flow), port: 40000}
	var err error
	if c.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, packetPort))); err != nil {
		return nil, err
	}
	c.done.Go(c.read)
	r.consumers = append(r.consumers, c)
	return c, nil
}

func (c *Consumer) close() {
	c.udp.Close()
	c.done.Wait()
}

func (c *Consumer) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.udp.Read(b)
		if err != nil {
			return
		}
		h, genuine, ok := platform.Decode(b[:n])
		if !ok || !genuine && h.Flags&platform.FlagRst == 0 {
			c.rig.Record.Add("consumer %s receives a packet that no server sent: %+v", c.addr, h)
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{h.Dst, h.Src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.packets <- received{h, genuine}:
		default: // the sender repeats the packet
		}
	}
}

type received struct {
	platform.Header
	fromServer bool // its checksum is valid
}

// Flow is one flow of a consumer. Its methods are called one at a time.
type Flow struct {
	key      flowKey
	OpenedAt time.Time
	UsedAt   time.Time // when its last packet was sent or received

	c        *Consumer
	service  string
	seq, ack uint32
	packets  chan received
}

// Consumer returns the consumer's end of the flow.
func (f *Flow) Consumer() netip.AddrPort { return f.key.consumer }

func (f *Flow) send(h platform.Header) {
	h.Src, h.Dst = f.key.consumer, f.key.service
	f.UsedAt = time.Now()
	f.c.udp.WriteToUDPAddrPort(h.Encode(), f.c.rig.router.pick(f.key))
}

// wait returns the next packet before the given time.
func (f *Flow) wait(until time.Time) (received, bool) {
	select {
	case h := <-f.packets:
		f.UsedAt = time.Now()
		return h, true
	case <-time.After(time.Until(until)):
		return received{}, false
	}
}

// Open opens a flow to a service from a new port.
func (c *Consumer) Open(service string) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &Flow{key: flowKey{netip.AddrPortFrom(c.addr, c.port), serviceAddr(service)}, c: c, service: service, seq: rand.Uint32(), packets: make(chan received, 256)}
	c.flows[f.key] = f
	c.mu.Unlock()
	start := time.Now()
	for i, after := range firstPacketTimes {
		until := start.Add(openTimeout)
		if i+1 < len(firstPacketTimes) {
			until = start.Add(firstPacketTimes[i+1])
		}
		if i > 0 {
			time.Sleep(time.Until(start.Add(after)))
		}
		f.send(platform.Header{Seq: f.seq, Ack: uint32(i), Flags: platform.FlagSyn})
		for {
			h, ok := f.wait(until)
			if !ok {
				break
			}
			switch {
			case h.Flags&platform.FlagRst != 0:
				f.forget()
				if h.fromServer {
					return nil, ServerReset
				}
				return nil, Reset
			case h.Flags&platform.FlagSyn != 0:
				f.seq++
				f.ack = h.Seq + 1
				f.OpenedAt = time.Now()
				f.send(platform.Header{Seq: f.seq, Ack: f.ack, Flags: ackFlag})
				return f, Answered
			}
		}
	}
	f.forget()
	return nil, NoAnswer
}

// Request sends a request on the flow and waits for its answer until the deadline.
func (f *Flow) Request(id string, deadline time.Duration) Outcome {
	end := time.Now().Add(deadline)
	data := []byte(id + " " + f.service)
	h := platform.Header{Seq: f.seq, Flags: ackFlag, Data: data}
	f.seq += uint32(len(data))
	f.c.rig.Record.Add("consumer %s sends %s to %s", f.key.consumer, id, f.service)
	acked := false
	for pause := firstRetransmission; time.Now().Before(end); pause = min(2*pause, maxRetransmission) {
		if !acked {
			h.Ack = f.ack
			f.send(h)
		}
		until := time.Now().Add(pause)
		if until.After(end) {
			until = end
		}
		for {
			p, ok := f.wait(until)
			if !ok {
				break
			}
			if int32(p.Ack-f.seq) >= 0 && p.Flags&platform.FlagRst == 0 {
				acked = true
			}
			if outcome, ended := f.receive(p, id); ended {
				f.c.rig.Record.Add("consumer %s: %s %s", f.key.consumer, id, outcome)
				return outcome
			}
		}
	}
	f.c.rig.Record.Add("consumer %s: %s %s", f.key.consumer, id, NoAnswer)
	return NoAnswer
}

// receive handles a packet that arrives while a request waits for its answer.
func (f *Flow) receive(p received, id string) (Outcome, bool) {
	if p.Flags&platform.FlagRst != 0 {
		if p.fromServer {
			return ServerReset, true
		}
		return Reset, f.inWindow(p)
	}
	if len(p.Data) == 0 {
		return 0, false
	}
	if p.Seq != f.ack {
		f.send(platform.Header{Seq: f.seq, Ack: f.ack, Flags: ackFlag})
		return 0, false
	}
	f.ack += uint32(len(p.Data))
	f.send(platform.Header{Seq: f.seq, Ack: f.ack, Flags: ackFlag})
	var got, server string
	if _, err := fmt.Sscanf(string(p.Data), "ok %s %s", &got, &server); err != nil || got != id {
		f.c.rig.Record.Add("consumer %s: %s gets the answer %q", f.key.consumer, id, p.Data)
		return 0, false
	}
	return Answered, true
}

func (f *Flow) inWindow(p received) bool {
	d := int32(p.Seq - f.ack)
	return d <= resetWindow && d >= -resetWindow
}

// ResetWhileIdle waits for a time without a request, and reports whether the system reset the
// flow meanwhile.
func (f *Flow) ResetWhileIdle(d time.Duration) bool {
	used := f.UsedAt
	defer func() { f.UsedAt = used }()
	for until := time.Now().Add(d); ; {
		p, ok := f.wait(until)
		if !ok {
			return false
		}
		if p.Flags&platform.FlagRst != 0 && !p.fromServer && f.inWindow(p) {
			return true
		}
	}
}

// Close ends the flow.
func (f *Flow) Close() {
	defer f.forget()
	for range 3 {
		f.send(platform.Header{Seq: f.seq, Ack: f.ack, Flags: platform.FlagFin | ackFlag})
		until := time.Now().Add(firstRetransmission)
		for {
			p, ok := f.wait(until)
			if !ok {
				break
			}
			if p.Flags&platform.FlagFin != 0 {
				f.send(platform.Header{Seq: f.seq + 1, Ack: p.Seq + 1, Flags: ackFlag})
				return
			}
			if p.Flags&platform.FlagRst != 0 {
				return
			}
		}
	}
}

func (f *Flow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}
