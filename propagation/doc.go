// Package propagation decides how the value of one key in a store reaches many
// processes at a cost to the store that does not grow with their number.
//
// If every process watched the key, each change would cost the store one call per process.
// Instead one process at a time watches for all. A process that receives a newer value or a
// later read sends a digest to a few others, which send it on. A process that lacks a value
// fetches it from a process that has it, and from the store only if no process sends it.
//
// The watcher is not elected. Digests carry the age of the latest read of the store. Each
// process draws a random age; the process with the lowest draw reads the store when the
// latest read reaches that age, and becomes the watcher. If the watcher is killed, cut off or
// refused by the store, another process takes over in the same way, at most MaxReadAge
// later. Of two watchers the one with the earlier read stops; if their reads have the same
// number, the one with the higher identity.
//
// A store that was restored from an older copy lacks the latest writes. Processes that have
// such content keep it, and the others take it from them. They compare the number that the
// writer gave to the content, since the store may have older content under a revision that is
// as high. For the same reason a process that starts asks the others first.
//
// A watch that fails without an error looks like a watch without changes, so a watcher also
// reads the key, after every second watch without a change.
//
// A Node is a state machine without I/O and not safe for concurrent use. Times are of
// the process's own monotonic clock; the times in digests are sent as ages.
package propagation
