package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

const methodPoll rpc.Method = "follow.poll"

// pollRequest asks for the changes after the revisions that the caller has, by
// collection. Without changes, the answer comes after WaitMS milliseconds.
type pollRequest struct {
	Have   map[platform.Collection]platform.Revision `json:"have"`
	WaitMS int64                                     `json:"wait_ms"`
}

// pollResponse holds the updates of the collections that have changes.
type pollResponse struct {
	Updates map[platform.Collection]update `json:"updates,omitempty"`
	// AgeMS is the age of the answering daemon's copies, in milliseconds: the time since
	// the store last answered that daemon or one that it polls, see CopyAge.
	AgeMS int64 `json:"age_ms"`
	// StoreReachable says that the store answers that daemon directly, not through a
	// peer. The encoded name is kept for daemons of other builds.
	StoreReachable bool `json:"on_store"`
}

// followPeers polls one of the designated daemons for as long as it answers and reaches the
// store. It reports false when there is no such daemon.
func (f *Follower) followPeers(ctx context.Context) bool {
	for _, d := range f.nearestFirst(f.DesignatedFollowers()) {
		if d.Name == f.config.Name || f.Suspected(d.Name) {
			continue
		}
		if f.followPeer(ctx, d) {
			return true
		}
	}
	return false
}

// followPeer polls one daemon until a poll fails, the daemon does not reach the store, its
// data is outdated, this daemon becomes designated or ctx ends. It reports true when no other
// daemon need be tried now: at least one answer was usable, or ctx had ended before a poll.
func (f *Follower) followPeer(ctx context.Context, d Daemon) bool {
	answered := false
	for ctx.Err() == nil {
		response, err := f.poll(ctx, d.Control, peerPollWait)
		if err != nil {
			f.Suspect(d.Name)
			f.log.Info("poll of the peer failed, trying another one", zap.String("peer", string(d.Name)), zap.Error(err))
			return answered
		}
		if !response.StoreReachable || time.Duration(response.AgeMS)*time.Millisecond > maxStoreAge {
			f.Suspect(d.Name)
			f.log.Info("the peer does not reach the store or its data is outdated, trying another one", zap.String("peer", string(d.Name)), zap.Int64("age_ms", response.AgeMS))
			return answered
		}
		answered = true
		if f.Designated() {
			return true
		}
	}
	return true
}

// poll asks the daemon at a control address (ip:port) for changes, and applies them. The
// daemon answers without a change after the given wait.
func (f *Follower) poll(ctx context.Context, address string, wait time.Duration) (*pollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerPollTimeout-peerPollWait)
	defer cancel()
	request := &pollRequest{Have: map[platform.Collection]platform.Revision{}, WaitMS: wait.Milliseconds()}
	for _, c := range collections {
		request.Have[c] = f.replicas[c].completeUpTo()
	}
	response, err := rpc.Call[pollResponse](ctx, f.client, address, methodPoll, request)
	if err != nil {
		return nil, err
	}
	for c, u := range response.Updates {
		if f.replicas[c] != nil {
			f.publish(c, f.replicas[c].apply(u))
		}
	}
	asOf := time.Now().Add(-time.Duration(response.AgeMS) * time.Millisecond)
	if last := f.currentAsOf.Load(); last == nil || asOf.After(*last) {
		f.currentAsOf.Store(&asOf)
	}
	return response, nil
}

// servePoll answers a poll as soon as there are changes for the caller or the store is not
// reachable, at the latest after the requested wait.
func (f *Follower) servePoll(ctx context.Context, request *pollRequest) (*pollResponse, error) {
	deadline := time.Now().Add(time.Duration(request.WaitMS) * time.Millisecond)
	for {
		changed := f.Changed()
		response := f.buildPollResponse(request)
		left := time.Until(deadline)
		if len(response.Updates) > 0 || left <= 0 || !response.StoreReachable {
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

// buildPollResponse returns the updates that the caller of a poll lacks now.
func (f *Follower) buildPollResponse(request *pollRequest) *pollResponse {
	response := &pollResponse{Updates: map[platform.Collection]update{}, AgeMS: f.CopyAge().Milliseconds(), StoreReachable: f.StoreReachable()}
	for _, c := range collections {
		if f.replicas[c].completeUpTo() == 0 {
			continue
		}
		u := f.replicas[c].since(request.Have[c])
		if u.Full || len(u.Records) > 0 {
			response.Updates[c] = u
		}
	}
	return response
}

// catchUpFromPeers polls the other designated daemons, without waiting for changes, until
// one answers that reaches the store. It is used while the store does not answer this
// daemon.
func (f *Follower) catchUpFromPeers(ctx context.Context) {
	for _, d := range f.DesignatedFollowers() {
		if d.Name == f.config.Name || f.Suspected(d.Name) {
			continue
		}
		response, err := f.poll(ctx, d.Control, 0)
		if err != nil {
			f.Suspect(d.Name)
			continue
		}
		if response.StoreReachable {
			return
		}
	}
}
