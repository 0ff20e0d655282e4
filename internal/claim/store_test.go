package claim

import (
	"context"
	"encoding/json"
	"strconv"
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

type bench struct {
	standin *platformd.Server
	client  *adapter.Store
	stores  []*Store
}

func startBench(t *testing.T) *bench {
	standin, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(standin.Stop)
	b := &bench{standin: standin, client: adapter.NewStore(standin.Address(), nil)}
	for _, name := range []model.DaemonID{"d1", "d2"} {
		b.stores = append(b.stores, New(&config.Config{Name: name}, b.client, metrics.New(), zap.NewNop()))
	}
	return b
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

func TestAnswersAreKeptBySize(t *testing.T) {
	b := startBench(t)
	for size, kept := range map[int]Kept{
		MaxRowBodyBytes:        KeptInRow,
		MaxRowBodyBytes + 1:    KeptInObject,
		MaxObjectBodyBytes + 1: KeptNowhere,
	} {
		key := KeyOf("t", model.RouteName(kept), "k")
		held, _, err := b.stores[0].Claim(context.Background(), request(key))
		must.NoError(t, err)
		held.record.Request = model.RequestID(kept)
		body := make([]byte, size)
		must.NoError(t, held.Complete(context.Background(), &Answer{Status: 201, Body: body}))
		_, earlier, err := b.stores[1].Claim(context.Background(), request(key))
		must.NoError(t, err)
		must.Eq(t, kept, earlier.AnswerLocation)
		answer, err := b.stores[1].LoadAnswer(context.Background(), earlier)
		if kept == KeptNowhere {
			must.ErrorIs(t, err, platform.ErrNotFound)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, 201, answer.Status)
		must.Eq(t, body, answer.Body)
	}
}

func TestClaimThatWasGivenUpIsReleased(t *testing.T) {
	b := startBench(t)
	key := KeyOf("t", "r", "k")
	b.standin.SetFaults(platformd.Faults{LoseAnswers: 1})
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claim{store: b.stores[0], key: key, record: Record{State: Claimed, Fingerprint: "f"}}
	write, err := c.write(0)
	must.NoError(t, err)
	_, err = b.client.CompareAndSet(ctx, write)
	must.ErrorIs(t, err, platform.ErrAmbiguous)
	cancel()
	must.True(t, c.releaseIfWritten(write))
	held, _, err := b.stores[1].Claim(context.Background(), request(key))
	must.NoError(t, err)
	must.NotNil(t, held)
}

func TestSweepRemovesOnlyExpiredClaims(t *testing.T) {
	b := startBench(t)
	ctx := context.Background()
	for i := range 3 * sweepRows {
		record := Record{State: Completed, ClaimedMS: time.Now().Add(-Retention - time.Hour).UnixMilli()}
		if i%2 == 0 {
			record.ClaimedMS = time.Now().UnixMilli()
		}
		value, err := json.Marshal(record)
		must.NoError(t, err)
		key := KeyOf("t", "r", time.Duration(i).String())
		_, err = b.client.CompareAndSet(ctx, platform.Write{Key: string(key), Value: value, WriteID: "w"})
		must.NoError(t, err)
	}
	sweeper := NewSweeper(b.stores[0], directory.New())
	for first := range 256 {
		sweeper.sweep(ctx, hexByte(first)+"000000", time.Now())
	}
	rows, err := b.client.List(ctx, keyPrefix, 10*sweepRows)
	must.NoError(t, err)
	must.Len(t, 3*sweepRows/2, rows)
}

func hexByte(value int) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[value/16], digits[value%16]})
}

// TestOneHolderAtATime drives two daemons with one key at random, under lost
// answers and outages: a request runs only under a claim, and never again after
// it ran.
func TestOneHolderAtATime(t *testing.T) {
	b := startBench(t)
	checks := 0
	rapid.Check(t, func(t *rapid.T) {
		checks++
		key := KeyOf("t", "r", strconv.Itoa(checks))
		ran, holders := 0, map[int]*Claim{}
		ctx := context.Background()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			daemon := rapid.IntRange(0, 1).Draw(t, "daemon")
			b.standin.SetFaults(platformd.Faults{
				LoseAnswers: rapid.IntRange(0, 1).Draw(t, "lost"),
				Down:        rapid.IntRange(0, 4).Draw(t, "down") == 0,
			})
			held := holders[daemon]
			if held == nil {
				claimed, _, err := b.stores[daemon].Claim(ctx, request(key))
				if err == nil && claimed != nil {
					holders[daemon] = claimed
				}
				if len(holders) > 1 || (claimed != nil && ran > 0) {
					t.Fatalf("claimed with %d holders after %d runs", len(holders), ran)
				}
				continue
			}
			delete(holders, daemon)
			if rapid.Bool().Draw(t, "runs") {
				ran++
				_ = held.Complete(ctx, &Answer{Status: 200})
				continue
			}
			_ = held.Release(ctx)
		}
	})
}
