package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/observe"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/spread"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
)

const testPool model.PoolName = "drafts"

var testRef = model.ServerRef{Pool: testPool, Server: "drafts-1"}

// bench is a dispatcher with one server and what it reported of it.
type bench struct {
	dispatcher *Dispatcher
	gate       *ownership.Gate
	server     *backend.Server
	evidence   chan ownership.Evidence
}

func startBench(t *testing.T, options backend.Options, pool settings.Pool) *bench {
	options.ID, options.Pool, options.Address = testRef.Server, testPool, "127.0.0.1:0"
	server, err := backend.Start(options)
	must.NoError(t, err)
	t.Cleanup(server.Kill)
	compiled, err := settings.Compile(&settings.Tree{
		Fleet: settings.Fleet{Ranks: []settings.RankSettings{{Name: "urgent"}, {Name: "bulk", FloorPercent: 10}}},
		Teams: map[model.TeamName]*settings.Team{"t": {Pools: map[model.PoolName]*settings.Pool{testPool: &pool}}},
	}, 1)
	must.NoError(t, err)
	dir := directory.New()
	loop := control.NewLoop()
	t.Cleanup(loop.Close)
	must.NoError(t, loop.Call(context.Background(), func() { dir.PublishSettings(compiled) }))
	b := &bench{gate: ownership.NewGate(), server: server, evidence: make(chan ownership.Evidence, 1024)}
	board := observe.NewBoard()
	board.Listen(func(e ownership.Evidence) {
		select {
		case b.evidence <- e:
		default:
		}
	})
	b.permit(time.Hour)
	conf := &config.Config{Name: "d1", DispatchAddress: "127.0.0.1:0"}
	network, registry := &netx.Network{}, metrics.New()
	peers := spread.New(rpc.NewServer(registry), rpc.NewClient(network, registry), zap.NewNop())
	b.dispatcher = New(conf, network, b.gate, dir, registry, journal.New("d1"), board, poison.NewTable(peers), zap.NewNop())
	must.NoError(t, b.dispatcher.Start(context.Background()))
	t.Cleanup(func() { _ = b.dispatcher.Stop(context.Background()) })
	return b
}

func (b *bench) permit(length time.Duration) {
	b.gate.Apply([]*ownership.Permit{{
		Server:  testRef,
		Address: b.server.Address(),
		Slots:   3,
		Until:   time.Now().Add(length),
	}})
}

// await waits for evidence of a kind.
func (b *bench) await(t *testing.T, kind ownership.EvidenceKind) ownership.Evidence {
	timeout := time.After(time.Minute)
	for {
		select {
		case e := <-b.evidence:
			if e.Kind == kind {
				return e
			}
		case <-timeout:
			t.Fatalf("no evidence %s", kind)
		}
	}
}

func TestProbeReportsWhatTheServerDoes(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	must.Eq(t, testRef, b.await(t, ownership.EvidenceHealthy).Server)
	b.server.SetFaults(backend.Faults{Frozen: true})
	b.await(t, ownership.EvidenceTimeout)
	b.server.SetFaults(backend.Faults{Draining: true})
	b.await(t, ownership.EvidenceDraining)
	b.server.Kill()
	b.await(t, ownership.EvidenceRefused)
	must.NoError(t, b.server.Restart())
	b.await(t, ownership.EvidenceHealthy)
}

func TestFailingHealthEndpointIsNoLoss(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	b.server.SetFaults(backend.Faults{SickHealth: true})
	for range 10 {
		must.Eq(t, ownership.EvidenceHealthy, (<-b.evidence).Kind)
	}
}

func TestServersWithoutPermitAreForgotten(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	b.await(t, ownership.EvidenceHealthy)
	b.gate.Apply(nil)
	must.Eq(t, 0, b.settle(func() int {
		return len(*b.dispatcher.servers.Load())
	}, 0))
	must.Eq(t, 0, b.settle(func() int { return b.server.Stats().Connections }, 0))
}

// settle polls until f returns want and gives up after a minute.
func (b *bench) settle(f func() int, want int) int {
	for range 6000 {
		if f() == want {
			return want
		}
		time.Sleep(10 * time.Millisecond)
	}
	return f()
}
