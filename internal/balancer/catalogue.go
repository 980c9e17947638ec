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
	// publishInterval is the minimum time between two builds of the address table. Each
	// build reads the whole catalogue, and a bulk edit of thousands of entries would
	// otherwise cause as many builds.
	publishInterval = 50 * time.Millisecond
	// bulkPortOffset is the distance of the bulk port from the internal port. It is fixed,
	// so that the bulk port of a balancer is known before its announcement arrives.
	bulkPortOffset = 1
	// maxBulkResults is the number of finished transfers that may wait for the control
	// loop; at most one transfer of each kind is in progress.
	maxBulkResults = 2
)

// bulkResult is the result of a bulk transfer from another balancer.
type bulkResult struct {
	from      netip.AddrPort
	kind      bulk.Kind
	catalogue catalogue.Bulk
	records   []membership.Record
	err       error
}

// bulkRequest is another balancer's request for a bulk transfer. The control loop answers
// it, since no other goroutine may read the state.
type bulkRequest struct {
	kind    bulk.Kind
	request []byte
	reply   chan func(io.Writer) error
}

// bulkAddr returns the bulk address of the balancer with the given internal address.
func bulkAddr(internal netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(internal.Addr(), internal.Port()+bulkPortOffset)
}

// serveBulk handles a request on the bulk port.
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

// replyBulk answers a bulk request with a function that writes a copy of the requested
// state. The goroutine of the request's connection calls that function.
func (l *controlLoop) replyBulk(q bulkRequest) {
	switch q.kind {
	case bulk.KindCatalogue:
		var have catalogue.Digest
		if err := cbor.Unmarshal(q.request, &have); err != nil {
			q.reply <- func(io.Writer) error { return err }
			return
		}
		q.reply <- l.replica.Bulk(have).Write
	case bulk.KindMemberList:
		all, err := l.machine.EncodeAll()
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

// fetchBulk starts the bulk transfers that the replica and the membership machine request.
func (l *controlLoop) fetchBulk(ctx context.Context) {
	if peer, ok := l.replica.BulkSource(); ok {
		request, err := cbor.Marshal(l.replica.Digest())
		if err == nil {
			go l.fetch(ctx, bulkResult{from: peer, kind: bulk.KindCatalogue}, request)
		}
	}
	if peer, ok := l.machine.BulkSource(); ok {
		go l.fetch(ctx, bulkResult{from: peer.Addr, kind: bulk.KindMemberList}, nil)
	}
}

// fetch makes one bulk transfer and passes its result to the control loop.
func (l *controlLoop) fetch(ctx context.Context, a bulkResult, request []byte) {
	a.err = l.b.bulk.Fetch(ctx, bulkAddr(a.from), a.kind, request, func(r io.Reader) (err error) {
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
	case l.bulkResults <- a:
	case <-ctx.Done():
	}
}

// applyBulk applies the result of a bulk transfer.
func (l *controlLoop) applyBulk(now time.Time, a bulkResult) {
	if a.err != nil {
		l.b.log.Warn("bulk transfer from another balancer failed", zap.Stringer("from", a.from), zap.Error(a.err))
		if a.kind == bulk.KindCatalogue {
			l.replica.BulkFailed()
		}
		return
	}
	if a.kind == bulk.KindMemberList {
		l.machine.MergeAll(now, a.records)
		return
	}
	if err := l.replica.ReceiveBulk(now, a.from, a.catalogue); err != nil {
		l.b.log.Info("bulk transfer of the catalogue not applied", zap.Stringer("from", a.from), zap.Error(err))
	}
}

// receiveCatalogue processes a catalogue message of another balancer or of an agent.
func (l *controlLoop) receiveCatalogue(now time.Time, from netip.AddrPort, b []byte) {
	m, err := catalogue.DecodeMessage(b)
	if err != nil {
		l.b.metrics.controlRejected.Inc()
		return
	}
	l.replica.Receive(now, from, m)
	if l.replica.Digest().Revision == 0 && l.interim.Receive(m) {
		l.b.addresses.table.Store(l.interim.Table())
		l.b.usesInterim.Store(true)
		l.machine.SetState(now, membership.StateReady)
		l.b.log.Warn("catalogue not available; an agent's copy of its entry is in force", zap.String("service", m.Reply.Service))
	}
}

// updateCatalogue sends the replica's outgoing messages and puts its state in force.
func (l *controlLoop) updateCatalogue() {
	for _, p := range l.replica.Outgoing() {
		l.link.SendBytes(seal.TopicCatalogue, p.To, p.Message.Encode())
	}
	now := time.Now()
	if now.Sub(l.publishedAt) < publishInterval {
		return // published at a later tick
	}
	digest := l.replica.Digest()
	old := l.b.digest.Load()
	if old != nil && old.Revision == digest.Revision && old.Checksum == digest.Checksum {
		return
	}
	if digest.Revision == 0 {
		return
	}
	l.publishedAt = now
	l.b.digest.Store(&digest)
	l.interim = catalogue.Interim{}
	l.b.addresses.table.Store(l.replica.Table())
	l.b.metrics.revision.Set(float64(digest.Revision))
	l.b.log.Info("catalogue in force", zap.Uint64("revision", digest.Revision), zap.Stringer("checksum", digest.Checksum))
	if old == nil {
		l.machine.SetState(now, membership.StateReady)
	}
}
