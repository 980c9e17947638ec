package health

import "time"

const (
	// MinAnswerLimit is the lowest answer limit. While no answer time is known, it is also the
	// time after which a caller that leaves has given up.
	MinAnswerLimit = time.Second
	// answerLimitFactor is the answer limit as a multiple of the mean answer time.
	answerLimitFactor = 10
	// gaveUpShare is the share of the answer limit from which a caller that leaves has given up
	// on the server. One that leaves earlier has reasons of its own.
	gaveUpShare = 0.5
)

// AnswerLimit returns the time without an answer after which a request has failed, for a
// mean answer time.
func AnswerLimit(mean time.Duration) time.Duration {
	return max(MinAnswerLimit, answerLimitFactor*mean)
}

// GaveUpAfter returns the time without an answer from which a caller that leaves has given
// up, for an answer limit.
func GaveUpAfter(limit time.Duration) time.Duration {
	return time.Duration(gaveUpShare * float64(limit))
}
