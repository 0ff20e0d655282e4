package retryafter_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/retryafter"
)

var sentAt = time.Date(2026, time.March, 5, 12, 0, 0, 0, time.UTC)

func TestReadableValues(t *testing.T) {
	for value, expected := range map[string]time.Duration{
		"0":                                0,
		"0.0":                              0,
		"3":                                3 * time.Second,
		" 3 ":                              3 * time.Second,
		"0.25":                             250 * time.Millisecond,
		".5":                               500 * time.Millisecond,
		"3600":                             time.Hour,
		"3601":                             retryafter.Max,
		strings.Repeat("9", 400):           retryafter.Max,
		"Thu, 05 Mar 2026 12:00:07 GMT":    7 * time.Second,
		"Thu, 05 Mar 2026 11:59:00 GMT":    0,
		"Fri, 05 Mar 2027 12:00:00 GMT":    retryafter.Max,
		"Thursday, 05-Mar-26 12:00:02 GMT": 2 * time.Second,
	} {
		pause, err := retryafter.Parse([]string{value}, sentAt)
		must.NoError(t, err, must.Sprint(value))
		must.Eq(t, expected, pause, must.Sprint(value))
	}
}

func TestUnreadableValuesStandForShortPause(t *testing.T) {
	for _, value := range []string{"", "-1", "-0", "+1", "1e3", "0x10", "NaN", "Inf", "soon", "1,2", "1.2.3", ".", "1 2", "\x00", "1s"} {
		pause, err := retryafter.Parse([]string{value}, sentAt)
		must.ErrorIs(t, err, retryafter.ErrUnreadable, must.Sprintf("%q", value))
		must.Eq(t, retryafter.Unreadable, pause, must.Sprintf("%q", value))
	}
}

func TestLongestReadableOfSeveralValuesCounts(t *testing.T) {
	pause, err := retryafter.Parse([]string{"1", "4.5", "2"}, sentAt)
	must.NoError(t, err)
	must.Eq(t, 4500*time.Millisecond, pause)
	pause, err = retryafter.Parse([]string{"0.3", "garbage"}, sentAt)
	must.ErrorIs(t, err, retryafter.ErrUnreadable)
	must.Eq(t, 300*time.Millisecond, pause)
}

// FuzzParse parses two arbitrary values. The pause is within its bounds, and values of
// which none can be read stand for the pause Unreadable.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"0", "3", "0.25", "-1", "1e400", "NaN", "garbage", "99999999999999999999", "Thu, 05 Mar 2026 12:00:07 GMT", "1, 2", ""} {
		f.Add(seed, "2")
		f.Add(seed, seed)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		together, _ := retryafter.Parse([]string{first, second}, sentAt)
		must.GreaterEq(t, 0, together)
		must.LessEq(t, retryafter.Max, together)
		one, oneErr := retryafter.Parse([]string{first}, sentAt)
		other, otherErr := retryafter.Parse([]string{second}, sentAt)
		switch {
		case oneErr == nil && otherErr == nil:
			must.Eq(t, max(one, other), together)
		case oneErr != nil && otherErr != nil:
			must.Eq(t, retryafter.Unreadable, together)
		case oneErr == nil:
			must.Eq(t, one, together)
		default:
			must.Eq(t, other, together)
		}
	})
}
