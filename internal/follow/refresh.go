package follow

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/retry"
)

// Changes of the configuration and leaving servers have to take effect at each daemon within 2 s,
// whatever happens to the daemons that it polls. While these work, copies are at most
// storePollWait and peerPollWait old, and the time of some calls.
const (
	refreshAge = 1600 * time.Millisecond // of a copy from which on a daemon calls the store itself
	// refreshJitter spreads the calls of daemons whose copies are of the same age. Daemons that
	// are asked meanwhile answer sooner.
	refreshJitter = 100 * time.Millisecond
	refreshRound  = 300 * time.Millisecond // between two rounds of asking others, while copies are old
	askedAtRandom = 3                      // daemons in each round
	// isolatedRetry is the pause after a failed call of the store while no other daemon answers
	// either: this one is cut off from all.
	isolatedRetry = 1500 * time.Millisecond
	// outageRetryMinimum is the same while others answer. It is longer in a large fleet: the store is
	// most likely down for all, and must not get many calls when it returns. It grows with the
	// square of the number of daemons, as more of them tell the others that it is back.
	outageRetryMinimum = 6 * time.Second
	outageRetryPerPair = 2 * time.Millisecond
)

// refreshCopies asks other daemons and then the store whenever the copy of a bounded collection is
// older than refreshAge, until ctx ends. It bounds the age of the copies for any trouble of the
// daemons that this one polls.
func (f *Follower) refreshCopies(ctx context.Context) {
	var failed failedRefresh
	for ctx.Err() == nil {
		if wait := f.untilRefresh(); wait > 0 {
			failed = failedRefresh{}
			sleep(ctx, wait)
			continue
		}
		if f.Designated() && f.followsStore.Load() {
			sleep(ctx, refreshRound) // it polls the store all the time, with pauses of its own
			continue
		}
		callDue := f.refreshDue(failed)
		f.takeBestOffer(ctx, f.askAges(f.askedDaemons(callDue)))
		if callDue && f.untilRefresh() <= 0 {
			failed = f.refreshOld(ctx)
		}
		sleep(ctx, min(refreshRound, max(f.untilRefresh(), refreshRound/2)))
	}
}

// untilRefresh returns the time until the first copy of a bounded collection is to be refreshed.
func (f *Follower) untilRefresh() time.Duration {
	oldest := time.Duration(0)
	for _, c := range boundedCollections {
		oldest = max(oldest, f.collectionAge(c))
	}
	return refreshAge - oldest
}

// failedRefresh is a call of the store that failed, zero if none did, and the pause before the next
// one.
type failedRefresh struct {
	at    time.Time
	pause time.Duration
}

// refreshDue reports whether to call the store after one that may have failed.
func (f *Follower) refreshDue(failed failedRefresh) bool {
	pause := failed.pause
	if age(&f.peerAnsweredAt) > isolatedRetry {
		pause = min(pause, isolatedRetry)
	}
	return time.Since(failed.at) >= pause
}

// refreshOld refreshes the copies of the bounded collections that are older than refreshAge from
// the store. It returns at the first call that fails.
func (f *Follower) refreshOld(ctx context.Context) failedRefresh {
	for _, c := range boundedCollections {
		if f.collectionAge(c) < refreshAge {
			continue
		}
		if err := f.refresh(ctx, c); err != nil {
			pause := f.outageRetryPause()
			f.log.Info("outdated copy could not be refreshed from the store", zap.String("peer", storePeer),
				zap.String("collection", string(c)), zap.Duration("again_after", pause), zap.Error(err))
			return failedRefresh{at: time.Now(), pause: pause}
		}
	}
	return failedRefresh{}
}

// outageRetryPause returns the pause after a call of the store that failed.
func (f *Follower) outageRetryPause() time.Duration {
	daemons := time.Duration(len(f.Daemons()))
	longest := max(outageRetryMinimum, daemons*daemons*outageRetryPerPair)
	pauses := retry.Backoff{First: longest, Limit: longest}
	return pauses.Next()
}

// refresh reads the changes of a collection from the store. If the store does not have them, the
// daemons that follow it read the whole collection first: this one does so at the next call.
func (f *Follower) refresh(ctx context.Context, c platform.Collection) error {
	if f.refreshInFull[c] {
		f.refreshInFull[c] = false
		return f.readCollection(ctx, c)
	}
	_, err := f.readChanges(ctx, c, f.replicas[c].completeUpTo(), 0)
	f.refreshInFull[c] = errors.Is(err, platform.ErrHistoryGone)
	return err
}

// offer is a daemon that has answered, and the age of the older one of its bounded copies.
type offer struct {
	daemon Daemon
	age    time.Duration
}

// askedDaemons returns the daemons to ask for newer copies: some at random, as what one of them has
// read from the store reaches the others so, whichever daemons are in trouble, and the daemons that
// may poll the store.
func (f *Follower) askedDaemons(withFollowers bool) []Daemon {
	asked := f.randomDaemons()
	if withFollowers {
		asked = append(append(asked, f.DesignatedFollowers()...), f.substitutes()...)
	}
	return asked
}

// randomDaemons returns some daemons. Those that did not answer the last time are among them only
// if there are no others.
func (f *Follower) randomDaemons() []Daemon {
	daemons := f.Daemons()
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
	sort.SliceStable(daemons, func(i, j int) bool { return !f.isSilent(daemons[i]) && f.isSilent(daemons[j]) })
	return daemons[:min(askedAtRandom, len(daemons))]
}

// askAges asks daemons side by side, in the background, how old their copies are. They send no
// records: after an outage of the store, those of many daemons would fill the links of all.
func (f *Follower) askAges(daemons []Daemon) <-chan offer {
	offers := make(chan offer, len(daemons))
	for _, d := range daemons {
		if d.Name == f.config.Name {
			continue
		}
		f.background.Go(func(ctx context.Context) {
			response, err := f.pollFor(ctx, d.Control, nil, 0)
			if err == nil {
				offers <- offer{daemon: d, age: response.boundedAge()}
			}
		})
	}
	return offers
}

// boundedAge returns the age of the older one of the answering daemon's bounded copies.
func (r *pollResponse) boundedAge() time.Duration {
	oldest := time.Duration(0)
	for _, c := range boundedCollections {
		ageMS, stated := r.AgesMS[c]
		if !stated {
			return unknownAge
		}
		oldest = max(oldest, time.Duration(ageMS)*time.Millisecond)
	}
	return oldest
}

// takeBestOffer takes the changes of the bounded collections from the daemon with the newest
// copies, if these are not old themselves. It waits for the offers and then for the changes.
func (f *Follower) takeBestOffer(ctx context.Context, offers <-chan offer) {
	sleep(ctx, refreshJitter/2+rand.N(refreshJitter/2))
	best := offer{age: refreshAge}
	for range len(offers) {
		if o := <-offers; o.age < best.age {
			best = o
		}
	}
	if best.age >= refreshAge {
		return
	}
	taken := make(chan struct{})
	f.background.Go(func(ctx context.Context) {
		defer close(taken)
		_, _ = f.pollFor(ctx, best.daemon.Control, boundedCollections, 0) // the store is called if it fails
	})
	timer := time.NewTimer(refreshJitter)
	defer timer.Stop()
	select {
	case <-taken:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// catchUp asks one follower for what the store has not sent to this daemon, whose poll failed.
func (f *Follower) catchUp() {
	others := f.unsuspected(f.DesignatedFollowers())
	if len(others) == 0 {
		return
	}
	d := others[rand.IntN(len(others))]
	f.background.Go(func(ctx context.Context) {
		_, _ = f.poll(ctx, d.Control, 0) // the store is polled again anyway
	})
}
