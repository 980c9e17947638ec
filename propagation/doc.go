// Package propagation decides how the value of one key in a store reaches many
// processes at a cost to the store that does not grow with their number.
//
// If every process watches the key, each change costs the store a call a process: 91
// balancers and 31 changes were 2,800 calls in 48 s, the largest price of the whole
// system. Here one process at a time watches for all. Each that learns something tells
// a few others, who tell a few others; who misses a value takes it from a process that
// has it, and from the store only if no process gives it.
//
// Nobody is appointed. Every read of the store is told around with its time. Each
// process draws the age that it bears; the one whose draw is the lowest reads when
// the latest read gets as old, and goes on as the watcher. If the watcher is killed,
// cut off or turned away by the store, the next one takes over in the same way, at most
// MaxAge later. Of two watchers the one with the higher identity stops.
//
// A watch that has gone deaf looks like one that has nothing to tell, so a watcher
// reads the key as well, after every second watch that heard nothing.
//
// A Node is a state machine without I/O and not safe for concurrent use. Times are of
// the process's own monotonic clock; what others tell of times are ages.
package propagation
