// Package flow decides what happens to the packets of flows that balancers and agents
// forward without reading their contents.
//
// A [Director] runs in each balancer. It offers new flows to agents, records which
// agent holds a flow, looks up flows that it does not know, and refuses flows that no
// agent accepts. A [Gate] runs in each agent. It tracks the state of its backend server
// and the flows that the server holds, and sends no first packet to a server that must
// not get new flows.
//
// Both are state machines without I/O: packets, messages and the time come in, effects
// go out. They start no goroutine and read no clock. Neither is safe for concurrent
// use.
package flow
