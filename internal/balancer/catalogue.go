package balancer

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hemlockscale/hemlockscale/catalogue"
	"github.com/hemlockscale/hemlockscale/internal/bulk"
	"github.com/hemlockscale/hemlockscale/internal/seal"
	"github.com/hemlockscale/hemlockscale/membership"
)

const (
	// publishInterval is the least time between two tables of addresses. A
	// table is built from the whole catalogue; a bulk edit of thousands of
	// entries would else build as many.
	publishInterval = 50 * time.Millisecond
	// bulkPortOffset is added to the port of the internal address: the bulk
	// socket of every balancer is found without being announced first.
	bulkPortOffset = 1
	// maxBulkResults is how many finished transfers may wait for the control
	// duty; at most one of each kind is under way.
	maxBulkResults = 2
)

// bulkResult is a finished transfer from a peer.
type bulkResult struct {
	from      netip.AddrPort
	kind      bulk.Kind
	catalogue catalogue.Bulk
	records   []membership.Record
	err       error
}

// bulkRequest is a peer's request, answered by the control duty, which alone
// reads the state.
type bulkRequest struct {
	kind    bulk.Kind
	request []byte
	reply   chan func(io.Writer) error
}

func bulkAddr(internal netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(internal.Addr(), internal.Port()+bulkPortOffset)
}

// serveBulk is the handler of the bulk port.
func (b *Balancer) serveBulk(ctx context.Context, kind bulk.Kind, request []byte, w io.Writer) error {
	q := bulkRequest{kind: kind, request: request, reply: make(chan func(io.Writer) error, 1)}
	select {
	case b.control.bulkRequests <- q:
	case <-ctx.Done():
		return ctx.Err()
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
	select {
	case write := <-q.reply:
		return write(w)
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
}

// replyBulk copies the state asked for, to be written by the asker's own
// goroutine.
func (d *controlLoop) replyBulk(q bulkRequest) {
	switch q.kind {
	case bulk.KindCatalogue:
		var have catalogue.Digest
		if err := cbor.Unmarshal(q.request, &have); err != nil {
			q.reply <- func(io.Writer) error { return err }
			return
		}
		q.reply <- d.replica.Bulk(have).Write
	case bulk.KindRoster:
		all, err := d.machine.EncodeAll()
		q.reply <- func(w io.Writer) error {
			if err == nil {
				_, err = w.Write(all)
			}
			return err
		}
	default:
		q.reply <- func(io.Writer) error { return &bulk.PeerError{} }
	}
}

// fetchBulk starts the transfers that the state machines ask for.
func (d *controlLoop) fetchBulk(ctx context.Context) {
	if peer, ok := d.replica.BulkSource(); ok {
		request, err := cbor.Marshal(d.replica.Digest())
		if err == nil {
			go d.fetch(ctx, bulkResult{from: peer, kind: bulk.KindCatalogue}, request)
		}
	}
	if peer, ok := d.machine.BulkSource(); ok {
		go d.fetch(ctx, bulkResult{from: peer.Addr, kind: bulk.KindRoster}, nil)
	}
}

func (d *controlLoop) fetch(ctx context.Context, a bulkResult, request []byte) {
	a.err = d.b.bulk.Fetch(ctx, bulkAddr(a.from), a.kind, request, func(r io.Reader) (err error) {
		if a.kind == bulk.KindCatalogue {
			a.catalogue, err = catalogue.ReadBulk(r)
			return err
		}
		var all bytes.Buffer
		if _, err = all.ReadFrom(r); err == nil {
			a.records, err = membership.DecodeAll(all.Bytes())
		}
		return err
	})
	select {
	case d.bulkResults <- a:
	case <-ctx.Done():
	}
}

func (d *controlLoop) applyBulk(now time.Time, a bulkResult) {
	if a.err != nil {
		d.b.log.Warn("bulk transfer failed", zap.Stringer("from", a.from), zap.Error(a.err))
		if a.kind == bulk.KindCatalogue {
			d.replica.BulkFailed()
		}
		return
	}
	if a.kind == bulk.KindRoster {
		d.machine.MergeAll(now, a.records)
		return
	}
	if err := d.replica.ReceiveBulk(now, a.from, a.catalogue); err != nil {
		d.b.log.Info("bulk transfer brought nothing", zap.Stringer("from", a.from), zap.Error(err))
	}
}

// receiveCatalogue takes in a message of another replica or of an agent.
func (d *controlLoop) receiveCatalogue(now time.Time, from netip.AddrPort, b []byte) {
	m, err := catalogue.DecodeMessage(b)
	if err != nil {
		d.b.metrics.controlRejected.Inc()
		return
	}
	d.replica.Receive(now, from, m)
	if d.replica.Digest().Revision == 0 && d.interim.Receive(m) {
		d.b.addresses.table.Store(d.interim.Table())
		d.b.usesInterim.Store(true)
		d.machine.SetState(now, membership.StateReady)
		d.b.log.Warn("an agent's entry in force, for want of the catalogue", zap.String("service", m.Reply.Service))
	}
}

// updateCatalogue sends what the replica wants sent and puts its state in force.
func (d *controlLoop) updateCatalogue() {
	for _, p := range d.replica.Outgoing() {
		d.link.SendBytes(seal.TopicCatalogue, p.To, p.Message.Encode())
	}
	now := time.Now()
	if now.Sub(d.publishedAt) < publishInterval {
		return // the next tick publishes
	}
	digest := d.replica.Digest()
	old := d.b.digest.Load()
	if old != nil && old.Revision == digest.Revision && old.Checksum == digest.Checksum {
		return
	}
	if digest.Revision == 0 {
		return
	}
	d.publishedAt = now
	d.b.digest.Store(&digest)
	d.interim = catalogue.Interim{}
	d.b.addresses.table.Store(d.replica.Table())
	d.b.metrics.revision.Set(float64(digest.Revision))
	d.b.log.Info("catalogue in force", zap.Uint64("revision", digest.Revision), zap.Stringer("checksum", digest.Checksum))
	if old == nil {
		d.machine.SetState(now, membership.StateReady)
	}
}
