package flow

import "time"

const (
	// startSpan is the time from its own start in which a balancer looks whether the
	// whole fleet has started with it, and in which an agent says that it has.
	startSpan = 10 * time.Second
	// meetTime is the least time that a balancer listens before it takes the agents
	// that the store names, and that it hears, for all. While the store has not
	// answered it is DirectorConfig.DiscoveryTime.
	meetTime = 100 * time.Millisecond
	// lookEvery is the time between two looks in the first moments.
	lookEvery = 25 * time.Millisecond
)

// lookForStart finds out whether all servers of the fleet have just started, as
// after a loss of power everywhere. Then no flow of before lives, and what an agent
// has not seen its server does not hold.
//
// Without this each agent that starts a little after its server can't tell what the
// server holds until it has passed a packet on; on 65 machines the packets of dead
// flows to every agent took a link of 10 Mbit/s for 15 s, and resets came 4 to 10 s
// after their searches began. A single agent's word would not do: its process may
// have started anew beside a server that is a second old. Only if every agent that
// is known says the same is it taken for a start of everything. Whether it knows all
// agents a balancer learns as after any start, but sooner if the other balancers have
// just started too.
func (d *Director) lookForStart(now time.Time) {
	before := d.everyoneStarted
	d.othersStarted, d.everyoneStarted = false, false
	if now.Sub(d.started) >= startSpan {
		return
	}
	heard, missing := 0, 0
	for _, a := range d.agents {
		switch {
		case a.heard.IsZero():
			missing++
		case a.young || a.empty || a.gone():
			heard++
		default:
			return
		}
	}
	d.othersStarted = heard > missing
	least := d.cfg.DiscoveryTime
	if d.listed {
		least = meetTime
	}
	if !d.othersStarted || now.Sub(d.started) < least {
		return
	}
	for _, a := range d.agents {
		if a.heard.IsZero() && !d.absent(now, a) {
			return
		}
	}
	d.everyoneStarted = true
	d.fewer = d.fewer || !before
}

// startUndecided reports whether the next looks may yet find that everything has
// just started. Packets that agents would need otherwise are not sent until then.
func (d *Director) startUndecided(now time.Time) bool {
	return d.othersStarted && !d.everyoneStarted && now.Sub(d.started) < d.cfg.DiscoveryTime
}

// StoreListed notes that the store has named the agents that it knows, all of which were
// introduced.
func (d *Director) StoreListed() { d.listed = true }
