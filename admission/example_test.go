package admission_test

import (
	"fmt"
	"time"

	"github.com/hemlockscale/hemlockscale/admission"
)

func Example() {
	now := time.Unix(0, 0)
	c := admission.New(now, admission.Config{Slots: 1, Queue: 1})

	fmt.Println(c.Offer(now, admission.Request{ID: 1, Owner: "kanatpar"}).Verdict)
	fmt.Println(c.Offer(now, admission.Request{ID: 2, Owner: "kanatpar"}).Verdict)
	d := c.Offer(now, admission.Request{ID: 3, Owner: "kanatpar"})
	fmt.Println(d.Verdict, d.Refusal.Reason)

	c.Done(now.Add(5*time.Millisecond), 1, admission.Result{Outcome: admission.OK})
	for _, e := range c.Effects(nil) {
		fmt.Println("start", e.ID)
	}
	// Output:
	// admitted
	// queued
	// refused queue_full
	// start 2
}
