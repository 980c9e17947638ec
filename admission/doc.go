// Package admission decides which requests an agent starts on its backend
// server, which requests wait for a slot, and which are refused.
//
// A [Controller] is a pure state machine: it does no I/O, starts no goroutine
// and reads no clock. The current time and the source of randomness are passed
// in, and decisions are returned as a [Decision] or as [Effect] values. It is
// not safe for concurrent use.
//
// A refusal is final and is returned as soon as it is certain. It means that the
// request was not started, and it carries the time after which a retry is
// likely to succeed.
//
// Short requests hold a slot until they are done. Long flows (streams and
// downloads) hold a slot only until [Controller.Opened] reports the header of
// the backend server's answer; from then on they count against a separate
// limit, [Config.LongFlows]. Open feeds therefore don't starve short requests,
// and a burst of opening feeds can't use every slot.
//
// A [Budget] limits retries to a share of the offered requests.
package admission
