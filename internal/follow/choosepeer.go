package follow

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// hedgeDelay is the time without an answer of the nearest daemon after which the others are asked too.
const hedgeDelay = 100 * time.Millisecond

// peerAnswer is the outcome of a poll of one of several daemons.
type peerAnswer struct {
	daemon   Daemon
	response *pollResponse
	err      error
}

// choosePeer returns the daemon to be polled from now on: one of the given ones that has just
// answered with usable copies, which are applied. It asks the nearest one first, and all others at
// once if that fails or is slow, so that the time does not grow with the number of those that
// don't answer. found is false if none is usable.
func (f *Follower) choosePeer(ctx context.Context, daemons []Daemon) (chosen Daemon, found bool) {
	candidates := f.unsuspected(f.nearestFirst(daemons))
	if len(candidates) == 0 {
		return Daemon{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerAnswer, len(candidates))
	ask := func(daemons []Daemon) {
		for _, d := range daemons {
			f.background.Go(func(context.Context) {
				response, err := f.poll(ctx, d.Control, 0)
				answers <- peerAnswer{daemon: d, response: response, err: err}
			})
		}
	}
	ask(candidates[:1])
	asked := 1
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for answered := 0; answered < asked; {
		select {
		case <-hedge.C:
		case a := <-answers:
			answered++
			if f.checkAnswer(a) {
				return a.daemon, true
			}
		}
		ask(candidates[asked:])
		asked = len(candidates)
	}
	return Daemon{}, false
}

// checkAnswer reports whether the daemon that gave an answer can be followed. If not, it
// suspects the daemon for a time.
func (f *Follower) checkAnswer(a peerAnswer) bool {
	if a.err != nil {
		f.Suspect(a.daemon.Name)
		f.log.Info("poll of the peer failed, trying another one", zap.String("peer", string(a.daemon.Name)), zap.Error(a.err))
		return false
	}
	return f.checkUsable(a.daemon, a.response)
}

// unsuspected returns the daemons that are not suspected, without this one.
func (f *Follower) unsuspected(daemons []Daemon) []Daemon {
	var list []Daemon
	for _, d := range daemons {
		if d.Name != f.config.Name && !f.Suspected(d.Name) {
			list = append(list, d)
		}
	}
	return list
}
