package follow

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

const methodPoll rpc.Method = "follow.poll"

// pollRequest asks for the changes after the positions that the caller has, by
// collection. Without changes, the answer comes after WaitMS milliseconds.
type pollRequest struct {
	// Have and Eras are the revisions and the eras of the positions. Requests of builds
	// that know no eras have no Eras: their positions are of the first era.
	Have   map[platform.Collection]platform.Revision `json:"have"`
	Eras   map[platform.Collection]platform.Era      `json:"eras,omitempty"`
	WaitMS int64                                     `json:"wait_ms"`
	// ReadsPacked says that the caller reads compressed values.
	ReadsPacked bool `json:"reads_packed,omitempty"`
	// Speeds are samples of servers' speeds, and SpeedsAfter is the sequence number of the last
	// figure that the caller got from the daemon. Requests of some builds have neither.
	Speeds      []byte `json:"speeds,omitempty"`
	SpeedsAfter uint64 `json:"speeds_after,omitempty"`
}

// position returns the position that the caller has of a collection.
func (r *pollRequest) position(c platform.Collection) platform.Position {
	p := platform.Position{Revision: r.Have[c], Era: r.Eras[c]}
	if p.Revision > 0 {
		p.Era = max(p.Era, platform.FirstEra)
	}
	return p
}

// pollResponse holds the updates of the collections that have changes.
type pollResponse struct {
	Updates map[platform.Collection]update `json:"updates,omitempty"`
	// AgeMS is the age of the answering daemon's copies, in milliseconds: the time since
	// the store last answered that daemon or one that it polls, see CopyAge.
	AgeMS int64 `json:"age_ms"`
	// StoreReachable says that that daemon polls the store and the store answers it. The
	// encoded name is kept for daemons of other builds.
	StoreReachable bool `json:"on_store"`
	// Eras are the eras of that daemon's copies. Answers of builds that know no eras
	// have none.
	Eras map[platform.Collection]platform.Era `json:"eras,omitempty"`
	// AgesMS are the ages of that daemon's copies in milliseconds, see collectionAge. Answers
	// of builds that know only AgeMS have none.
	AgesMS map[platform.Collection]int64 `json:"ages_ms,omitempty"`
	// Speeds are figures of servers' speeds that the caller has not got yet, and SpeedsLast is
	// the sequence number of the last one. Answers of some builds have neither.
	Speeds     []byte `json:"speeds,omitempty"`
	SpeedsLast uint64 `json:"speeds_last,omitempty"`
}

// followPeers polls one of the designated daemons for as long as it answers and reaches the
// store, or one of their substitutes if the designated ones answer but do not reach it. It
// reports false when there is no such daemon.
func (f *Follower) followPeers(ctx context.Context) bool {
	if f.followOneOf(ctx, f.DesignatedFollowers(), f.turn.storeFound) {
		return true
	}
	return f.turn.storeless && f.followOneOf(ctx, f.substitutes(), func() { f.turn.postpone(time.Now()) })
}

// followOneOf polls one of some daemons, as followPeer says.
func (f *Follower) followOneOf(ctx context.Context, daemons []Daemon, onUsable func()) bool {
	d, found := f.choosePeer(ctx, daemons)
	return found && f.followPeer(ctx, d, onUsable)
}

// followPeer polls one daemon until a poll fails, the daemon does not reach the store, its
// data is outdated, this daemon becomes designated or ctx ends. It reports true when no other
// daemon need be tried now: at least one answer was usable, or ctx had ended before a poll.
// It calls onUsable with each usable answer.
func (f *Follower) followPeer(ctx context.Context, d Daemon, onUsable func()) bool {
	answered := false
	for ctx.Err() == nil {
		response, err := f.poll(ctx, d.Control, peerPollWait)
		if err != nil {
			f.Suspect(d.Name)
			f.log.Info("poll of the peer failed, trying another one", zap.String("peer", string(d.Name)), zap.Error(err))
			return answered
		}
		if !f.checkUsable(d, response) {
			return answered
		}
		answered = true
		f.followsStore.Store(false)
		onUsable()
		if f.Designated() {
			return true
		}
	}
	return true
}

// checkUsable reports whether the answer of a daemon shows that its copies can be followed. If
// not, it suspects the daemon for a time.
func (f *Follower) checkUsable(d Daemon, response *pollResponse) bool {
	if !response.StoreReachable || time.Duration(response.AgeMS)*time.Millisecond > maxStoreAge {
		f.suspectStoreless(d)
		f.log.Info("the peer does not reach the store or its data is outdated, trying another one", zap.String("peer", string(d.Name)), zap.Int64("age_ms", response.AgeMS))
		return false
	}
	if f.inEarlierEra(response) {
		f.suspectStoreless(d)
		f.log.Info("the peer has not heard of the store's era yet, trying another one", zap.String("peer", string(d.Name)))
		return false
	}
	return true
}

// suspectStoreless marks a daemon as suspected that answers but does not reach the store now.
func (f *Follower) suspectStoreless(d Daemon) {
	f.suspectFor(d.Name, storelessDuration)
	f.turn.storeLacking(time.Now(), len(f.Daemons()), f.isAmong(f.substitutes()))
}

// poll asks the daemon at a control address (ip:port) for changes, and applies them. The
// daemon answers without a change after the given wait.
func (f *Follower) poll(ctx context.Context, address string, wait time.Duration) (*pollResponse, error) {
	return f.pollFor(ctx, address, collections, wait)
}

// pollFor is poll for some collections only.
func (f *Follower) pollFor(ctx context.Context, address string, wanted []platform.Collection, wait time.Duration) (*pollResponse, error) {
	pollCtx, cancel := context.WithTimeout(ctx, wait+peerPollTimeout-peerPollWait)
	defer cancel()
	began := time.Now()
	request := f.newPollRequest(wanted, wait)
	f.speeds.writeRequest(request, address)
	response, err := f.callPeer(pollCtx, address, request)
	if err != nil {
		if ctx.Err() == nil {
			f.pollUnanswered(address)
		}
		return nil, err
	}
	f.pollAnswered(address)
	f.logSpeeds(address, f.speeds.readResponse(response, address))
	for c, u := range response.Updates {
		if f.replicas[c] != nil {
			if err := u.unpack(); err != nil {
				return nil, err
			}
			f.logReceived(c, u, address)
			f.applyUpdate(c, u.fromPeer())
		}
	}
	markCurrent(&f.currentAsOf, time.Now().Add(-time.Duration(response.AgeMS)*time.Millisecond))
	f.markCompleteAsPeer(response, wanted, answeredAt(began, wait))
	return response, nil
}

// markCompleteAsPeer records that this daemon's copies of the collections that it wanted are as
// complete as those of a daemon whose answer has just been applied, which gave it at a time.
func (f *Follower) markCompleteAsPeer(response *pollResponse, wanted []platform.Collection, answered time.Time) {
	if f.inEarlierEra(response) {
		return
	}
	for _, c := range wanted {
		if ageMS, stated := response.AgesMS[c]; stated {
			f.markComplete(c, answered.Add(-time.Duration(ageMS)*time.Millisecond))
		}
	}
}

// answeredAt returns when the answer to a poll was given that has just arrived: now, or soon after
// the end of its wait if that is earlier, as a process that stood still reads its answers late.
func answeredAt(began time.Time, wait time.Duration) time.Time {
	latest := began.Add(wait + answerTransit)
	if now := time.Now(); now.Before(latest) {
		return now
	}
	return latest
}

// newPollRequest asks for what this daemon's copies of some collections lack. For the others it
// states a position that no daemon is beyond.
func (f *Follower) newPollRequest(wanted []platform.Collection, wait time.Duration) *pollRequest {
	r := &pollRequest{
		Have:   map[platform.Collection]platform.Revision{},
		Eras:   map[platform.Collection]platform.Era{},
		WaitMS: wait.Milliseconds(),

		ReadsPacked: true,
	}
	for _, c := range collections {
		have := platform.Position{Era: math.MaxUint64, Revision: math.MaxUint64}
		if slices.Contains(wanted, c) {
			have = f.replicas[c].completeUpTo()
		}
		r.Have[c], r.Eras[c] = have.Revision, have.Era
	}
	return r
}

// inEarlierEra reports whether a copy of the answering daemon is of an earlier era than
// this daemon's.
func (f *Follower) inEarlierEra(response *pollResponse) bool {
	for _, c := range collections {
		if max(response.Eras[c], platform.FirstEra) < f.replicas[c].completeUpTo().Era {
			return true
		}
	}
	return false
}

// fromPeer returns an update with the eras that builds which know none leave out.
func (u update) fromPeer() update {
	u.Era = max(u.Era, platform.FirstEra)
	for i := range u.Records {
		u.Records[i].Era = max(u.Records[i].Era, platform.FirstEra)
	}
	return u
}

// servePoll answers a poll as soon as there are changes for the caller or the store is not
// reachable, at the latest after the requested wait.
func (f *Follower) servePoll(ctx context.Context, request *pollRequest) (*pollResponse, error) {
	f.logSpeeds("caller of a poll", f.speeds.readRequest(request))
	deadline := time.Now().Add(time.Duration(request.WaitMS) * time.Millisecond)
	for {
		changed := f.Changed()
		response := f.buildPollResponse(request)
		left := time.Until(deadline)
		if len(response.Updates) > 0 || left <= 0 || !response.StoreReachable {
			f.addPositions(request, response)
			f.speeds.writeResponse(request, response)
			return response, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// addPositions adds updates without records for the collections in which this daemon's copy is
// further than the caller's although nothing has changed. A caller whose position stood still
// would sooner or later be below the floor of each other daemon.
func (f *Follower) addPositions(request *pollRequest, response *pollResponse) {
	for _, c := range collections {
		if _, changed := response.Updates[c]; changed {
			continue
		}
		held, have := f.replicas[c].completeUpTo(), request.position(c)
		if held.Era == have.Era && have.Before(held) {
			response.Updates[c] = f.replicas[c].since(have)
		}
	}
}

// buildPollResponse returns the updates that the caller of a poll lacks now.
func (f *Follower) buildPollResponse(request *pollRequest) *pollResponse {
	response := &pollResponse{
		Updates: map[platform.Collection]update{}, AgeMS: f.CopyAge().Milliseconds(),
		StoreReachable: f.followsStore.Load() && f.StoreReachable(), Eras: map[platform.Collection]platform.Era{},
		AgesMS: f.collectionAges(), // before the updates, so that these are at least as new
	}
	for _, c := range collections {
		held := f.replicas[c].completeUpTo()
		response.Eras[c] = held.Era
		if held.IsZero() {
			continue
		}
		if held.Era > platform.FirstEra && len(request.Eras) == 0 {
			continue // a build that knows no eras would take the revisions for its own
		}
		u := f.replicas[c].since(request.position(c))
		if !u.Full && len(u.Records) == 0 {
			continue
		}
		if request.ReadsPacked {
			if err := f.packers[c].pack(&u); err != nil {
				f.log.Warn("large records are sent as they are", zap.String("collection", string(c)), zap.Error(err))
			}
		}
		response.Updates[c] = u
	}
	return response
}
