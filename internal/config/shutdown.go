package config

import "time"

// Bounds of a Shutdown, for grace periods that leave enough time. Shorter ones have the same
// parts as one of 6 s.
const (
	maxAcceptTime  = 2500 * time.Millisecond // of Refuse
	maxNoticeTime  = 3500 * time.Millisecond // of Noticed
	maxEndTime     = 700 * time.Millisecond  // from End to the end of the grace period
	maxAnswersTime = 200 * time.Millisecond  // of LastAnswers
)

// Shutdown holds the steps of a fenced daemon's shutdown. All but LastAnswers are times after
// SIGTERM.
type Shutdown struct {
	// Refuse is when new requests begin to be refused: later ones might be cut off.
	Refuse time.Duration
	// Noticed is when the load balancer has noticed that the daemon is not ready, so that
	// the listener closes.
	Noticed time.Duration
	// End is when the requests in progress are refused. It is in the last sixth of the
	// grace period: a server that is still at work then is too slow for it.
	End time.Duration
	// LastAnswers is the time for the answers to these.
	LastAnswers time.Duration
}

// Shutdown returns the steps of the shutdown under the grace period.
func (f *Fenced) Shutdown() Shutdown {
	grace := time.Duration(f.GraceSeconds * float64(time.Second))
	left := min(maxEndTime, grace/6)
	return Shutdown{
		Refuse:      min(maxAcceptTime, grace*5/12),
		Noticed:     min(maxNoticeTime, grace*7/12),
		End:         grace - left,
		LastAnswers: min(maxAnswersTime, left/3),
	}
}
