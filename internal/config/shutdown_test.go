package config

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// With a short grace period, requests at a server were cut off before its last sixth, and
// accepted until then.
func TestStepsOfShutdownFitTheGracePeriod(t *testing.T) {
	const exit = 100 * time.Millisecond // for what still stops then
	for _, seconds := range []float64{minGraceSeconds, 1.5, 2, 3, 4, 5, DefaultGraceSeconds, 10, 30} {
		grace := time.Duration(seconds * float64(time.Second))
		s := (&Fenced{GraceSeconds: seconds}).Shutdown()
		must.Less(t, s.Noticed, s.Refuse, must.Sprint(grace))
		must.Less(t, s.End, s.Noticed, must.Sprint(grace))
		must.LessEq(t, s.End, grace*5/6, must.Sprint(grace))
		must.LessEq(t, grace, s.End+s.LastAnswers+exit, must.Sprint(grace))
	}
}
