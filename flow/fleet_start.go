package flow

import "time"

const (
	// fleetStartWindow is the time after its own start in which a balancer checks
	// whether the whole fleet has started with it, and in which an agent reports a
	// recent start.
	fleetStartWindow = 10 * time.Second
	// minDiscoveryTime is the shortest time after which a balancer assumes that the
	// agents that the store lists, and those that sent messages, are all. Until the
	// store has answered it is DirectorConfig.DiscoveryTime.
	minDiscoveryTime = 100 * time.Millisecond
	// fleetStartCheckInterval is the time between two checks shortly after the start.
	fleetStartCheckInterval = 25 * time.Millisecond
)

// detectFleetStart detects that all servers of the fleet have recently started, as
// after a power loss of the whole fleet. Then no flow from before is open, and a server
// holds no flow that its agent has not seen.
//
// Without this, an agent that starts a little after its server doesn't know whether the
// server holds a flow until it has forwarded one of the flow's packets to the server. In
// a fleet of 65 machines, sending packets of ended flows to every agent fills a 10 Mbit/s
// link for 15 s and delays resets to 4 to 10 s after the start of their lookups.
//
// The report of a single agent is not enough: its process may have restarted beside a
// server that is a second old. The whole fleet counts as started only if more than half
// of the known agents have sent a message, and each of these has reported a recent start,
// or a server that holds no flows or has ended. The others must be ones whose answer is
// optional. The check waits for minDiscoveryTime once the store has listed the agents,
// otherwise for DirectorConfig.DiscoveryTime.
func (d *Director) detectFleetStart(now time.Time) {
	before := d.fleetRecentlyStarted
	d.reportersRecentlyStarted, d.fleetRecentlyStarted = false, false
	if now.Sub(d.started) >= fleetStartWindow {
		return
	}
	reported, notReported := 0, 0
	for _, a := range d.agents {
		switch {
		case a.lastReceivedAt.IsZero():
			notReported++
		case a.recentlyStarted || a.holdsNoFlows || a.ended():
			reported++
		default:
			return
		}
	}
	d.reportersRecentlyStarted = reported > notReported
	least := d.cfg.DiscoveryTime
	if d.storeListed {
		least = minDiscoveryTime
	}
	if !d.reportersRecentlyStarted || now.Sub(d.started) < least {
		return
	}
	for _, a := range d.agents {
		if a.lastReceivedAt.IsZero() && !d.answerOptional(now, a) {
			return
		}
	}
	d.fleetRecentlyStarted = true
	d.recheckBlocked = d.recheckBlocked || !before
}

// fleetStartPending reports whether the next checks may still detect a start of the
// whole fleet. Packets that agents would otherwise need are not sent until then.
func (d *Director) fleetStartPending(now time.Time) bool {
	return d.reportersRecentlyStarted && !d.fleetRecentlyStarted && now.Sub(d.started) < d.cfg.DiscoveryTime
}

// StoreListed records that the store has listed the agents that it knows, all of which
// were added.
func (d *Director) StoreListed() { d.storeListed = true }
