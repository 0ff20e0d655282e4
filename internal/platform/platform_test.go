package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

func startStore(t *testing.T) (*platformd.Server, *adapter.Store) {
	server, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(server.Stop)
	return server, adapter.NewStore(server.Address(), nil)
}

func newWrite(expect platform.RowVersion, id string) platform.Write {
	return platform.Write{Key: "row", Value: []byte(id), Expect: expect, WriteID: platform.WriteID(id)}
}

func TestCompareAndSetRequiresTheExpectedVersion(t *testing.T) {
	_, client := startStore(t)
	ctx := context.Background()
	version, err := client.CompareAndSet(ctx, newWrite(0, "first"))
	must.NoError(t, err)
	must.Eq(t, platform.RowVersion(1), version)
	_, err = client.CompareAndSet(ctx, newWrite(0, "second"))
	must.ErrorIs(t, err, platform.ErrConflict)
	row, err := client.Get(ctx, "row")
	must.NoError(t, err)
	must.Eq(t, "first", string(row.Value))
}

func TestWriteAndConfirmFindsAWriteWhoseResponseWasLost(t *testing.T) {
	server, client := startStore(t)
	server.SetFaults(platformd.Faults{DropWriteResponses: 1})
	version, err := platform.WriteAndConfirm(context.Background(), client, newWrite(0, "lost"))
	must.NoError(t, err)
	must.Eq(t, platform.RowVersion(1), version)
	must.Eq(t, int64(1), server.Counts().Writes)
}

func TestWriteAndConfirmReportsAConflictWithAnotherWrite(t *testing.T) {
	server, client := startStore(t)
	_, err := client.CompareAndSet(context.Background(), newWrite(0, "other"))
	must.NoError(t, err)
	server.SetFaults(platformd.Faults{DropWriteResponses: 1})
	_, err = platform.WriteAndConfirm(context.Background(), client, newWrite(0, "late"))
	must.ErrorIs(t, err, platform.ErrConflict)
}

func TestOutageIsUnavailableAndWritesNothing(t *testing.T) {
	server, client := startStore(t)
	server.SetFaults(platformd.Faults{Down: true})
	_, err := client.CompareAndSet(context.Background(), newWrite(0, "down"))
	must.ErrorIs(t, err, platform.ErrUnavailable)
	server.SetFaults(platformd.Faults{})
	_, err = client.Get(context.Background(), "row")
	must.ErrorIs(t, err, platform.ErrNotFound)
}

func TestSlowWriteIsAmbiguousAtTheDeadline(t *testing.T) {
	server, client := startStore(t)
	server.SetFaults(platformd.Faults{DelayMS: 500})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.CompareAndSet(ctx, newWrite(0, "slow"))
	must.True(t, errors.Is(err, platform.ErrAmbiguous))
}

func TestPlatformThatRefusesConnectionsIsUnavailable(t *testing.T) {
	server, client := startStore(t)
	server.Stop()
	_, err := client.CompareAndSet(context.Background(), newWrite(0, "gone"))
	must.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestInstanceListLags(t *testing.T) {
	server, client := startStore(t)
	server.SetFaults(platformd.Faults{ListLagMS: 60_000})
	server.Register(platform.Instance{ID: "late", Kind: platform.KindDaemon, State: platform.StateLive})
	server.SetFaults(platformd.Faults{})
	server.Register(platform.Instance{ID: "now", Kind: platform.KindDaemon, State: platform.StateLive})
	list, err := client.Instances(context.Background())
	must.NoError(t, err)
	must.Len(t, 1, list)
	must.Eq(t, "now", list[0].ID)
}
