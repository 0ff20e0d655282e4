package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// fixture is the stores of two daemons that share one platform.
type fixture struct {
	standin *platformd.Server // test implementation of the platform
	client  *adapter.Store
	stores  []*Store

	mu        sync.Mutex
	confirmed [2]platform.Era // see confirmation
}

func startFixture(t *testing.T) *fixture {
	standin, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(standin.Stop)
	f := &fixture{standin: standin, client: adapter.NewStore(standin.Address(), nil)}
	for _, name := range []model.DaemonID{"d1", "d2"} {
		f.stores = append(f.stores, New(&config.Config{Name: name}, f.client, metrics.New(), zap.NewNop()))
	}
	return f
}

func request(key Key) Request {
	return Request{Key: key, Fingerprint: "f", Request: "r", DispatchBy: time.Now().Add(time.Minute)}
}

func TestKeyIsScopedToTeamAndRoute(t *testing.T) {
	keys := map[Key]bool{
		KeyOf("a", "b", "c"): true,
		KeyOf("a", "bc", ""): true,
		KeyOf("ab", "", "c"): true,
		KeyOf("a", "b", "d"): true,
	}
	must.MapLen(t, 4, keys)
}

func TestResponsesAreStoredBySize(t *testing.T) {
	f := startFixture(t)
	for size, location := range map[int]ResponseLocation{
		MaxRowBodyBytes:        ResponseInRow,
		MaxRowBodyBytes + 1:    ResponseInObject,
		MaxObjectBodyBytes + 1: ResponseNotStored,
	} {
		key := KeyOf("t", model.RouteName(location), "k")
		held, _, err := f.stores[0].Claim(context.Background(), request(key))
		must.NoError(t, err)
		held.record.Request = model.RequestID(location)
		body := make([]byte, size)
		must.NoError(t, held.Complete(context.Background(), &Response{Status: 201, Body: body}))
		_, earlier, err := f.stores[1].Claim(context.Background(), request(key))
		must.NoError(t, err)
		must.Eq(t, location, earlier.ResponseLocation)
		response, err := f.stores[1].LoadResponse(context.Background(), earlier)
		if location == ResponseNotStored {
			must.ErrorIs(t, err, platform.ErrNotFound)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, 201, response.Status)
		must.Eq(t, body, response.Body)
	}
}

// A claim that was written although its write seemed to fail must be released, as its
// request is not dispatched. Otherwise no repeat could ever run.
func TestClaimWithLostWriteResultIsReleased(t *testing.T) {
	f := startFixture(t)
	key := KeyOf("t", "r", "k")
	f.standin.SetFaults(platformd.Faults{DropWriteResponses: 1})
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claim{store: f.stores[0], key: key, record: Record{State: Claimed, Fingerprint: "f"}}
	write, err := c.newWrite(0)
	must.NoError(t, err)
	_, err = f.client.CompareAndSet(ctx, write)
	must.ErrorIs(t, err, platform.ErrAmbiguous)
	cancel()
	must.True(t, c.releaseIfWritten(write))
	held, _, err := f.stores[1].Claim(context.Background(), request(key))
	must.NoError(t, err)
	must.NotNil(t, held)
}

func TestSweepRemovesOnlyExpiredClaims(t *testing.T) {
	f := startFixture(t)
	ctx := context.Background()
	for i := range 3 * sweepRows {
		record := Record{State: Completed, ClaimedMS: time.Now().Add(-Retention - time.Hour).UnixMilli()}
		if i%2 == 0 {
			record.ClaimedMS = time.Now().UnixMilli()
		}
		value, err := json.Marshal(record)
		must.NoError(t, err)
		key := KeyOf("t", "r", time.Duration(i).String())
		_, err = f.client.CompareAndSet(ctx, platform.Write{Key: string(key), Value: value, WriteID: "w"})
		must.NoError(t, err)
	}
	sweeper := &Sweeper{store: f.stores[0], directory: directory.New()}
	for first := range 256 {
		sweeper.sweep(ctx, hexByte(first)+"000000", time.Now())
	}
	rows, err := f.client.List(ctx, keyPrefix, 10*sweepRows)
	must.NoError(t, err)
	must.Len(t, 3*sweepRows/2, rows)
}

func hexByte(value int) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[value/16], digits[value%16]})
}

// TestOneHolderAtATime claims and finishes requests with one key at two daemons in
// random order, with lost results and outages of the platform. Only one daemon may
// hold a claim at a time, and none may get one after the request ran.
func TestOneHolderAtATime(t *testing.T) {
	f := startFixture(t)
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		checks++
		key := KeyOf("t", "r", strconv.Itoa(checks))
		ran, claims := 0, map[int]*Claim{}
		ctx := context.Background()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			daemon := rapid.IntRange(0, 1).Draw(t, "daemon")
			f.standin.SetFaults(platformd.Faults{
				DropWriteResponses: rapid.IntRange(0, 1).Draw(t, "lost"),
				Down:               rapid.IntRange(0, 4).Draw(t, "down") == 0,
			})
			held := claims[daemon]
			if held == nil {
				claimed, _, err := f.stores[daemon].Claim(ctx, request(key))
				if err == nil && claimed != nil {
					claims[daemon] = claimed
				}
				if len(claims) > 1 || (claimed != nil && ran > 0) {
					t.Fatalf("claimed with %d holders after %d runs", len(claims), ran)
				}
				continue
			}
			delete(claims, daemon)
			if rapid.Bool().Draw(t, "runs") {
				ran++
				_ = held.Complete(ctx, &Response{Status: 200})
				continue
			}
			_ = held.Release(ctx)
		}
	})
}
