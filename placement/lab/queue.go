package lab

import "time"

// eventKind is the kind of an event.
type eventKind uint8

const (
	arrive        eventKind = iota // flow: a caller's first Initial or its retransmission
	request                        // flow: its next request
	finish                         // flow: its request frees the slot
	report                         // agent: its occupancy reaches a balancer
	sample                         // statistics and load endpoints are updated
	zoneFailure                    // a zone fails
	membersUpdate                  // member lists omit the failed agents
	coldStart                      // cold backend servers start
	ramp                           // the weight of cold agents rises
)

type event struct {
	at   time.Duration
	kind eventKind
	id   int32 // index of the flow or agent
}

// eventQueue is a binary heap ordered by time.
type eventQueue []event

func (q *eventQueue) push(e event) {
	h := append(*q, e)
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].at <= e.at {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = e
	*q = h
}

func (q *eventQueue) pop() event {
	h := *q
	top, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if last.at <= h[child].at {
			break
		}
		h[i] = h[child]
		i = child
	}
	if len(h) > 0 {
		h[i] = last
	}
	*q = h
	return top
}
