package agent

import (
	"context"
	"time"

	"github.com/hemlockscale/hemlockscale/internal/contact"
)

// contactTimeout is the time without an acknowledgement from any balancer after which
// contact slots are read again.
const contactTimeout = 10 * time.Second

// results returns the channel of the results of store calls, nil without a store.
func (l *controlLoop) results() <-chan contact.Result {
	if l.contacts == nil {
		return nil
	}
	return l.contacts.Results
}

// readContacts reads contact slots until a balancer is known, and again when no known
// balancer has sent an acknowledgement for contactTimeout.
func (l *controlLoop) readContacts(ctx context.Context, now time.Time) {
	if l.slots == nil {
		return
	}
	if l.announcer != nil && now.Sub(l.announcer.LastAck()) > contactTimeout {
		l.slots.RequestContacts(now)
	}
	if call, ok := l.slots.Next(now); ok {
		l.contacts.Start(ctx, call)
	}
}

// receiveContact handles the result of reading a contact slot.
func (l *controlLoop) receiveContact(now time.Time, r contact.Result) {
	l.slots.Done(now, l.contacts.Complete(r))
	l.seeds = append(l.slots.Contacts(), l.a.cfg.Seeds...)
	if l.announcer != nil {
		l.announcer.SetSeeds(l.seeds)
	}
}
