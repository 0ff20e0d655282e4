package serverspeed

import "time"

// Parameters of the detection of a change, in standard deviations of the samples.
const (
	changeDrift = 0.75 // of each sample, this much is taken for chance
	changeSum   = 4.0  // the rest, summed up, that shows a change
	maxExcess   = 2.25 // one sample adds at most this, so that none shows a change by itself

	// minChangeSpan is the time over which the samples must differ: a machine may be slow for
	// some hundred milliseconds.
	minChangeSpan = time.Second
)

// detector finds a lasting change of a mean by the sum of the samples' excess on one side
// (CUSUM). It works by samples, not by time: a server that is seen rarely changes too.
type detector struct {
	above, below side
}

// side holds the excess on one side, and the samples since it was last zero.
type side struct {
	sum     float64
	samples mean
	began   time.Time
}

// add adds a sample of some weight, which differs from the expected value by this many standard
// deviations. It returns the samples since the change if it shows one, and forgets them.
func (d *detector) add(value, weight, deviations float64, now time.Time) (since mean, changed bool) {
	if d.above.add(value, weight, deviations, now) {
		since, changed = d.above.samples, true
	}
	if d.below.add(value, weight, -deviations, now) {
		since, changed = d.below.samples, true
	}
	if changed {
		*d = detector{}
	}
	return since, changed
}

// add adds a sample, and reports whether the excess of this side shows a change.
func (s *side) add(value, weight, excess float64, now time.Time) bool {
	s.sum += weight * min(excess-changeDrift, maxExcess)
	if s.sum <= 0 {
		*s = side{}
		return false
	}
	if s.began.IsZero() {
		s.began = now
	}
	s.samples.add(value, weight, now, longMemory)
	return s.sum > changeSum && now.Sub(s.began) >= minChangeSpan
}
