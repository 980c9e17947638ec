// Package lab replays the load after a loss of power, a kill of all processes, a
// burst and a slow server on a model of a fleet in simulated time.
//
// Balancers and agents are the state machines of package flow themselves. Links with
// bytes a second and a bounded queue, servers with slots, a queue and a cold start, and
// callers with copies of first packets, attempts, repeats and deadlines are modelled.
// Beside what callers got stands an upper bound: the same servers' slots handed out by
// somebody who knows all requests and needs no messages.
//
// Package flow walks maps, so two runs of one seed differ a little; figures are means
// over seeds.
package lab
