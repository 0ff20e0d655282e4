package fenced

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	coldWindow       = time.Second            // in which requests to a cold server are counted
	coldReportPeriod = 300 * time.Millisecond // between two registrations of a cold server
)

// coldState is the server's warm-up.
type coldState struct {
	until    time.Time
	from     time.Time   // from when requests are counted
	arrivals []time.Time // while it was cold, within the last coldWindow
	total    int         // while it was cold
	most     int         // within coldWindow
}

// TurnCold makes the server cold for a time. Its registrations and the answers to health
// checks say so. It registers until it is warm. The requests are counted when the daemons
// have had the given time to learn of it.
func (s *Server) TurnCold(period, learning time.Duration) {
	s.mu.Lock()
	until := time.Now().Add(period)
	s.cold = coldState{until: until, from: time.Now().Add(learning)}
	s.mu.Unlock()
	s.Register()
	go func() {
		for time.Now().Before(until) {
			time.Sleep(min(coldReportPeriod, time.Until(until)+time.Millisecond))
			s.Register()
		}
	}()
}

// coldFor returns the time for which the server stays cold.
func (s *Server) coldFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.cold.until.Sub(now), 0)
}

// ColdArrivals returns the number of requests that the server got while it was cold, and the
// most of them within a second. Requests for keys that it does not own are not counted.
func (s *Server) ColdArrivals() (total, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.total, s.cold.most
}

// stateWarmUp adds to the answer to a health check for how long the server stays cold.
func (s *Server) stateWarmUp(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(headerWarmUp, strconv.FormatInt(s.coldFor(time.Now()).Milliseconds(), 10))
}

// countCold counts a request. More than the bound within a second, while the server is cold,
// are a violation. The caller must hold s.mu.
func (s *Server) countCold(now time.Time) {
	c := &s.cold
	if now.Before(c.from) || !now.Before(c.until) {
		return
	}
	c.total++
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) >= coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	c.most = max(c.most, len(c.arrivals))
	if s.options.ColdBound > 0 && len(c.arrivals) > s.options.ColdBound {
		s.options.Ledger.coldBoundExceeded(s, len(c.arrivals))
	}
}
