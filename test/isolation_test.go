package test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/connid"
	"github.com/hemlockscale/hemlockscale/internal/fleetkey"
	"github.com/hemlockscale/hemlockscale/internal/quicwire"
	"github.com/hemlockscale/hemlockscale/internal/standin/caller"
	"github.com/hemlockscale/hemlockscale/test/fleet"
)

const (
	foreignIDs     = `hemlock_balancer_caller_packets_total{verdict="foreign_id"}`
	noService      = `hemlock_balancer_caller_packets_total{verdict="no_service"}`
	malformed      = `hemlock_balancer_caller_packets_total{verdict="malformed"}`
	agentForeign   = "hemlock_agent_foreign_packets_total"
	packetsPerCase = 50
)

// shortHeader returns a QUIC packet with a short header and the connection ID id.
func shortHeader(id [connid.Len]byte) []byte {
	b := make([]byte, 100)
	b[0] = 0x40
	copy(b[1:], id[:])
	return b
}

func mintConnID(t *testing.T, key string, target connid.Target) [connid.Len]byte {
	t.Helper()
	ring, err := fleetkey.Parse(key)
	if err != nil {
		t.Fatal(err)
	}
	ids, err := ring.ConnIDs()
	if err != nil {
		t.Fatal(err)
	}
	return ids.Mint(target)
}

// sendTo sends copies of a datagram directly to a socket of a process.
func sendTo(t *testing.T, to netip.AddrPort, b []byte, copies int) {
	t.Helper()
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range copies {
		c.Write(b)
	}
}

// awaitCount waits until a metric is at least n above before.
func awaitCount(t *testing.T, admin, name string, before float64, n int) {
	t.Helper()
	fleet.Eventually(t, name+" counts every datagram", func() bool {
		v, ok := fleet.Metric(admin, name)
		return ok && v >= before+float64(n)
	})
}

func metric(t *testing.T, admin, name string) float64 {
	t.Helper()
	v, ok := fleet.Metric(admin, name)
	if !ok {
		t.Fatalf("no metric %s", name)
	}
	return v
}

// Guards against packets for one service that reach another. Packets have connection IDs of the
// other service, random ones, ones under a key that is not the fleet's, or an address of no
// service. The balancer that receives such a packet must drop and count it.
func TestForgedConnectionIDs(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	listing, records := f.Entry("listing"), f.Entry("records")
	ofListing := connid.Target{Agent: f.Agents[0].Internal, Service: listing.Number}
	cases := []struct {
		name, counter string
		address       netip.Addr
		packet        []byte
	}{
		{"of another service", foreignIDs, f.Addresses["records"], shortHeader(mintConnID(t, fleet.FleetKey, ofListing))},
		{"random", foreignIDs, f.Addresses["records"], shortHeader([connid.Len]byte{0: 1, 5: 99})},
		{"under a key that is not the fleet's", foreignIDs, f.Addresses["listing"], shortHeader(mintConnID(t, "1:ffffffffffffffffffffffffffffffff", ofListing))},
		{"under an unknown key number", foreignIDs, f.Addresses["listing"], shortHeader(mintConnID(t, "9:ffffffffffffffffffffffffffffffff", ofListing))},
		{"to an address of no service", noService, f.SpareAddress(9), shortHeader(mintConnID(t, fleet.FleetKey, ofListing))},
		{"truncated", malformed, f.Addresses["listing"], []byte{0x40, 1, 2, 3}},
		{"first packet too short", malformed, f.Addresses["listing"], initialPacket(quicwire.MinInitial - 1)},
	}
	for _, c := range cases {
		for _, b := range f.Balancers {
			before := metric(t, b.Admin, c.counter)
			sendTo(t, netip.AddrPortFrom(c.address, b.Port), c.packet, packetsPerCase)
			awaitCount(t, b.Admin, c.counter, before, packetsPerCase)
		}
	}
	// The agent checks the service too, because a balancer with an outdated member list or
	// catalogue forwards packets of a service that the agent does not have.
	stale := shortHeader(mintConnID(t, fleet.FleetKey, connid.Target{Agent: f.Agents[2].Internal, Service: listing.Number}))
	before := metric(t, f.Agents[2].Admin, agentForeign)
	sendTo(t, netip.AddrPortFrom(f.Addresses["listing"], f.Balancers[0].Port), stale, packetsPerCase)
	awaitCount(t, f.Agents[2].Admin, agentForeign, before, packetsPerCase)
	if records.Number == listing.Number {
		t.Error("two services have the same number")
	}
	awaitServed(t, f, "listing")
	awaitServed(t, f, "records")
}

// initialPacket returns a datagram of n bytes that starts like a QUIC Initial packet.
func initialPacket(n int) []byte {
	b := make([]byte, n)
	copy(b, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	return b
}

// awaitServed waits until several new callers of a service in a row are answered.
func awaitServed(t *testing.T, f *fleet.Fleet, service string) {
	t.Helper()
	const inARow = 8
	ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.WaitLimit)
	defer cancel()
	row := 0
	fleet.Eventually(t, service+" is served", func() bool {
		c := f.CallerWith(caller.Config{Service: service, IdleTimeout: 3 * time.Second})
		defer c.Close()
		a, err := c.Card(ctx, fmt.Sprint("after-", row))
		checkAnswerError(t, err)
		if err != nil || a.Status != 200 {
			row = 0
			return false
		}
		row++
		return row == inARow
	})
}

// checkAnswerError fails the test for an error that a caller must never see. A visible failure is
// allowed.
func checkAnswerError(t *testing.T, err error) {
	var e *caller.Error
	if errors.As(err, &e) && e.Kind != caller.BrokenFlow {
		t.Error(err)
	}
}

// Guards against callers of one service that reach the other, and new callers that get no
// connection. An agent is killed with open flows, and an agent of the other service starts at its
// address and port, which still receives packets of the old flows and, for a while, of new ones.
func TestAgentAddressReused(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	ctx, cancel := context.WithTimeout(context.Background(), 2*fleet.WaitLimit)
	defer cancel()
	var open, broken atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			c := f.CallerWith(caller.Config{Service: "records", IdleTimeout: 3 * time.Second})
			var once sync.Once
			_, err := c.DownloadAt(ctx, 4*downloadRate, downloadRate, uint64(i), func(uint64) { once.Do(func() { open.Add(1) }) })
			checkAnswerError(t, err)
			if err != nil {
				broken.Add(1)
			}
		})
	}
	fleet.Eventually(t, "downloads open", func() bool { return open.Load() == 8 })
	old := f.Agents[2]
	held := metric(t, old.Admin, "hemlock_agent_connections")
	old.Kill()
	reused := f.StartAgentAt(kanatpar().Services[0], old)
	f.Eventually("the new agent counts packets of the old flows", func() bool {
		v, ok := fleet.Metric(reused.Admin, agentForeign)
		return held == 0 || ok && v > 0
	})
	wg.Wait()
	if int64(held) != broken.Load() {
		t.Errorf("%d flows broke, the killed agent held %v", broken.Load(), held)
	}
	awaitServed(t, f, "records")
	awaitServed(t, f, "listing")
}

// Guards against callers of one service that are answered by another. While callers use an
// address, an edit moves it to the other service, which the balancers apply one after the other.
// Each answer must be from the requested service, or the call must fail visibly.
func TestAddressMovedBetweenServices(t *testing.T) {
	t.Parallel()
	f := fleet.Start(t, kanatpar())
	moved, spare := f.Addresses["listing"], f.SpareAddress(0)
	ctx, cancel := context.WithTimeout(context.Background(), 3*fleet.WaitLimit)
	defer cancel()
	var answered [2]atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	defer wg.Wait()
	defer close(stop) // also when the test fails, since running callers would keep it from ending
	for i := range 8 {
		wg.Go(func() {
			service := []string{"listing", "records"}[i%2]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c := f.CallerWith(caller.Config{Service: service, Address: netip.AddrPortFrom(moved, f.Fabric.Port()), IdleTimeout: time.Second})
				for range 3 {
					a, err := c.Card(ctx, fmt.Sprint(i, "-", n))
					checkAnswerError(t, err)
					if err == nil && a.Status == 200 {
						answered[i%2].Add(1)
					}
				}
				c.Close()
			}
		})
	}
	fleet.Eventually(t, "listing answers at the address", func() bool { return answered[0].Load() > 20 })
	if n := answered[1].Load(); n > 0 {
		t.Errorf("records answered %d times before the edit", n)
	}
	listing, records := f.Entry("listing"), f.Entry("records")
	listing.Addresses = []netip.Addr{spare}
	records.Addresses = append(records.Addresses, moved)
	f.WaitRevision(f.Apply(catalogue.Edit{Editor: "test", Put: []catalogue.Entry{listing, records}}))
	fleet.Eventually(t, "records answers at the address", func() bool { return answered[1].Load() > 20 })
	before := answered[0].Load()
	fleet.Eventually(t, "records continues to answer at the address", func() bool { return answered[1].Load() > 60 })
	if n := answered[0].Load() - before; n > 0 {
		t.Errorf("listing answered %d times at an address that it no longer has", n)
	}
}
