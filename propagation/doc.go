// Package propagation decides how the value of one key in a store reaches many
// processes at a cost to the store that does not grow with their number.
//
// If every process watched the key, each change would cost the store a call a process. Here
// one process at a time watches for all. Each that learns something sends a digest to a few
// others, which send it on; a process that lacks a value takes it from one that has it, and
// from the store only if no process sends it.
//
// No process is appointed. The digest of every read of the store spreads with the read's
// age. Each process draws an age; the one whose draw is the lowest reads when the latest
// read gets as old, and goes on as the watcher. If the watcher is killed, cut off or
// refused by the store, the next one takes over in the same way, at most MaxAge later. Of
// two watchers the one whose read is the earlier one stops.
//
// A store that comes back from an older copy lacks what was written last. Whoever has that
// keeps it, and the others take it, by the number that the writer gave to the content: the
// revision under which the store has something older may be as high. So a process that
// starts asks the others first.
//
// A watch that has stopped silently looks like one without changes, so a watcher reads the
// key as well, after every second watch without a change.
//
// A Node is a state machine without I/O and not safe for concurrent use. Times are of
// the process's own monotonic clock; times in digests are ages.
package propagation
