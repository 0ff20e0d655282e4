package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// A daemon told others only when the store had last answered it about any collection, so that a
// copy of the configurations counted as current while only the other collections' polls worked.
func TestAgeOfACopyIsThatOfItsOwnCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		r.passAnswering(time.Second, collections...)
		r.passAnswering(5*time.Second, platform.Servers, platform.Shared)
		response := r.follower.buildPollResponse(&pollRequest{})
		must.Eq(t, 0, response.AgeMS)
		must.Eq(t, 5000, response.AgesMS[platform.Configurations])
		must.Eq(t, 0, response.AgesMS[platform.Servers])
	})
}

// The record of an incident did not tell whether a daemon's copy was old. Each time that a copy
// becomes outdated and is current again has one log line each.
func TestOutdatedCopyIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		core, logged := observer.New(zap.InfoLevel)
		r.follower.log = zap.New(core)
		r.follower.background.Go(r.follower.watchAges)
		for range 2 {
			r.passAnswering(3*time.Second, collections...)
			r.passAnswering(4*time.Second, platform.Servers)
		}
		r.passAnswering(time.Second, collections...)
		must.Eq(t, 2, logged.FilterMessage("copy of the collection is outdated").Len())
		again := logged.FilterMessage("copy of the collection is current again").All()
		must.Len(t, 2, again)
		must.Eq(t, string(platform.Configurations), again[0].ContextMap()["collection"].(string))
		must.Between(t, 4*time.Second, again[0].ContextMap()["after"].(time.Duration), 4500*time.Millisecond)
	})
}

// A daemon asked others for some collections only, and took the copies of the rest, of which they
// sent nothing, for as complete as theirs.
func TestOnlyCopiesThatWereAskedForBecomeComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry(t)
		r.follower.callPeer = func(context.Context, string, *pollRequest) (*pollResponse, error) {
			return &pollResponse{AgesMS: map[platform.Collection]int64{platform.Configurations: 100, platform.Servers: 100, platform.Shared: 100}}, nil
		}
		_, err := r.follower.pollFor(context.Background(), "d2", boundedCollections, 0)
		must.NoError(t, err)
		must.Eq(t, 100*time.Millisecond, r.follower.collectionAge(platform.Configurations))
		must.Eq(t, unknownAge, r.follower.collectionAge(platform.Shared))
	})
}

// A daemon's position stood still as long as nothing changed, so that daemons that had read a
// collection later sent it the whole collection at each poll instead of nothing.
func TestPollWithoutChangesMovesThePosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early, late := newRegistry(t), newRegistry(t)
		early.read(era(1, 9), at(era(1, 4), "s1", catalog.Server{Sequence: 1}))
		late.read(era(1, 20), at(era(1, 4), "s1", catalog.Server{Sequence: 1}))
		follower := newRegistry(t)
		follower.read(era(1, 5), at(era(1, 4), "s1", catalog.Server{Sequence: 1}))
		early.apply(update{Position: era(1, 30)})
		follower.follower.callPeer = func(ctx context.Context, _ string, r *pollRequest) (*pollResponse, error) {
			return early.follower.servePoll(ctx, r)
		}
		early.follower.replicas[platform.Servers].floor = era(1, 4)
		_, err := follower.follower.poll(context.Background(), "early", peerPollWait)
		must.NoError(t, err)
		must.Eq(t, era(1, 30), follower.follower.replicas[platform.Servers].completeUpTo())
		response := late.follower.buildPollResponse(follower.follower.newPollRequest(collections, 0))
		must.MapNotContainsKey(t, response.Updates, platform.Servers)
	})
}
