package follow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	// goneAfter is the time of unanswered polls after which a daemon is taken for gone. One that
	// stands still for so long is as well; it has its place again once it answers.
	goneAfter = 6 * time.Second
	// isolatedAfter is the time without an answer of any daemon after which this one is taken to be
	// cut off: then it takes nobody for gone.
	isolatedAfter = goneAfter
	// silentPollPeriod is the time between two polls of a daemon that does not answer.
	silentPollPeriod = time.Second
)

// silence holds the times of the first and the last poll that a daemon has left unanswered since
// its last answer.
type silence struct {
	first, last time.Time
}

// pollAnswered records that the daemon at a control address (ip:port) answered a poll.
func (f *Follower) pollAnswered(address string) {
	wasIsolated := age(&f.peerAnsweredAt) > isolatedAfter
	markCurrent(&f.peerAnsweredAt, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	if wasIsolated {
		clear(f.silences) // they were this daemon's own
	}
	delete(f.silences, address)
}

// pollUnanswered records that the daemon at a control address (ip:port) left a poll unanswered.
func (f *Follower) pollUnanswered(address string) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s, silentBefore := f.silences[address]
	if !silentBefore {
		s.first = now
	}
	s.last = now
	f.silences[address] = s
}

// isSilent reports whether the last poll of a daemon was left unanswered.
func (f *Follower) isSilent(d Daemon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, silent := f.silences[d.Control]
	return silent
}

// goneDaemons returns the daemons that are taken for gone.
func (f *Follower) goneDaemons(daemons []Daemon) map[model.DaemonID]bool {
	if age(&f.peerAnsweredAt) > isolatedAfter {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.silences) == 0 {
		return nil
	}
	gone := map[model.DaemonID]bool{}
	for _, d := range daemons {
		s, silent := f.silences[d.Control]
		if silent && d.Name != f.config.Name && s.last.Sub(s.first) >= goneAfter {
			gone[d.Name] = true
		}
	}
	return gone
}

// watchEarlierDaemons polls the daemons of this zone whose places this one takes when they are
// gone, until ctx ends: if it is next, or if one of them does not answer. While one does not
// answer, it polls others too, to know whether it is itself cut off.
func (f *Follower) watchEarlierDaemons(ctx context.Context) {
	for ctx.Err() == nil {
		earlier := f.earlierDaemons()
		silent := slices.ContainsFunc(earlier, f.isSilent)
		if silent {
			earlier = append(earlier, f.randomDaemons()...)
		}
		if silent || f.isAmong(f.substitutes()) {
			f.askAges(earlier) // for whether they answer
		}
		f.logGone()
		sleep(ctx, silentPollPeriod)
	}
}

// earlierDaemons returns the daemons of this zone that are designated before this one as long as
// they are not gone.
func (f *Follower) earlierDaemons() []Daemon {
	var earlier []Daemon
	for _, d := range f.recordOrder() {
		if d.Name == f.config.Name {
			break
		}
		if d.Zone == f.config.Zone {
			earlier = append(earlier, d)
		}
	}
	return earlier
}

// logGone logs which daemons have become gone for this one, and which are no longer.
func (f *Follower) logGone() {
	gone := f.goneDaemons(f.Daemons())
	for name := range gone {
		if !f.loggedGone[name] {
			f.log.Warn("daemon does not answer for long, its place is given to others", zap.String("peer", string(name)))
		}
	}
	for name := range f.loggedGone {
		if !gone[name] {
			f.log.Info("daemon is no longer taken for gone", zap.String("peer", string(name)))
		}
	}
	f.loggedGone = gone
}
