// Package admission decides which requests an agent starts on its backend
// server, which ones wait for a slot, and which ones are refused.
//
// A [Controller] is a pure state machine: it does no I/O, starts no goroutine
// and reads no clock. The current time and the source of randomness are passed
// in, decisions come out as a [Decision] or as [Effect] values. It is not safe
// for concurrent use: one goroutine, or one mutex, guards it.
//
// A refusal is final and is given at the moment it is known. It always means
// that the request was not started, and it carries the time after which coming
// back is worthwhile.
//
// Short requests hold a slot until they are done. Long flows (streams and
// downloads) hold a slot only until [Controller.Opened] reports that the
// backend server answered with its header; from then on they count against
// their own bound, [Config.LongFlows]. So open feeds don't starve short
// requests, and a burst of opening feeds can't take every slot.
//
// A [Budget] bounds retries to a share of the offered requests.
package admission
