// Package lab replays the load after a power loss, after a kill of all processes,
// during a burst, with slow, uneven or failing servers and with an availability zone that
// is put back into service, on a model of a fleet in simulated time.
//
// Balancers and agents are the state machines of package flow themselves. The model
// adds links with a bandwidth and a bounded queue, servers with slots, a queue and a
// cold start, and callers with copies of first packets, attempts, repeats and
// deadlines.
//
// Results are given as credit: 1 for a request that is answered within Config.Target,
// Config.LateCredit for a later answer, 0 for none. Window n, from 0, starts 2n seconds
// after the event, lasts two seconds, and has the mean credit of the requests sent in it,
// weighted by the worth of their kinds. A request has failed if it was not answered by its
// deadline; those sent in the windows are counted by kind, as a mean over runs. Results are
// shown beside an upper bound: the same servers' slots assigned with knowledge of all requests
// and without messages.
//
// Package flow iterates over maps, so two runs with the same seed differ a little;
// figures are means over seeds.
package lab
