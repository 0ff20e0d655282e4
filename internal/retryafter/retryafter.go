// Package retryafter parses the values of Retry-After headers. A value is a number of
// seconds, with or without a fraction, or an HTTP date.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// Max is the longest pause that is returned: a longer one is taken for a mistake, such
	// as milliseconds or a time of day.
	Max = time.Hour
	// Unreadable is the pause returned for values of which none can be read.
	Unreadable = time.Second
)

// ErrUnreadable says that a value is neither a number of seconds nor an HTTP date.
var ErrUnreadable = errors.New("retryafter: value is neither seconds nor an HTTP date")

// Parse returns the longest pause that one of the values states, from 0 to Max. Dates are
// compared with sentAt, the time of the message by its sender's clock. Values that can't
// be read are reported as an error, and the pause is valid all the same: that of the other
// values, or Unreadable if there is no other.
func Parse(values []string, sentAt time.Time) (time.Duration, error) {
	var longest time.Duration
	var unreadable error
	readable := 0
	for _, value := range values {
		pause, err := parseValue(strings.TrimSpace(value), sentAt)
		if err != nil {
			unreadable = errors.Wrapf(err, "%.40q", value)
			continue
		}
		readable++
		longest = max(longest, pause)
	}
	if readable == 0 && unreadable != nil {
		return Unreadable, unreadable
	}
	return longest, unreadable
}

// parseValue returns the pause that one value states.
func parseValue(value string, sentAt time.Time) (time.Duration, error) {
	if at, err := http.ParseTime(value); err == nil {
		return min(max(at.Sub(sentAt), 0), Max), nil
	}
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, ErrUnreadable // also a sign, an exponent, and the names of infinity
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if errors.Is(err, strconv.ErrRange) {
		return Max, nil
	}
	if err != nil || math.IsNaN(seconds) {
		return 0, ErrUnreadable
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), nil
}
