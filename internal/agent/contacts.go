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
func (d *controlLoop) results() <-chan contact.Result {
	if d.contacts == nil {
		return nil
	}
	return d.contacts.Results
}

// readContacts reads contact slots until a balancer is known, and again when no known
// balancer has sent an acknowledgement for contactTimeout.
func (d *controlLoop) readContacts(ctx context.Context, now time.Time) {
	if d.slots == nil {
		return
	}
	if d.announcer != nil && now.Sub(d.announcer.LastAck()) > contactTimeout {
		d.slots.RequestContacts(now)
	}
	if call, ok := d.slots.Next(now); ok {
		d.contacts.Make(ctx, call)
	}
}

// receiveContact handles the result of reading a contact slot.
func (d *controlLoop) receiveContact(now time.Time, r contact.Result) {
	d.slots.Done(now, d.contacts.Done(r))
	d.seeds = append(d.slots.Contacts(), d.a.cfg.Seeds...)
	if d.announcer != nil {
		d.announcer.SetSeeds(d.seeds)
	}
}
