package dispatcher

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
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

// fixture is a dispatcher with one backend server and the observations that it reported.
type fixture struct {
	dispatcher *Dispatcher
	gate       *ownership.Gate
	server     *backend.Server
	evidence   chan ownership.Evidence
}

// startFixture starts a server and a dispatcher that has a permit for it for an hour.
func startFixture(t *testing.T, options backend.Options, pool settings.Pool) *fixture {
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
	f := &fixture{gate: ownership.NewGate(), server: server, evidence: make(chan ownership.Evidence, 1024)}
	observations := observe.NewTable()
	observations.SetListener(func(e ownership.Evidence) {
		select {
		case f.evidence <- e:
		default:
		}
	})
	f.permit(time.Hour)
	conf := &config.Config{Name: "d1", DispatchAddress: "127.0.0.1:0"}
	network, registry := &netx.Network{}, metrics.New()
	peers := spread.New(rpc.NewServer(registry), rpc.NewClient(network, registry), zap.NewNop())
	f.dispatcher = New(conf, network, f.gate, dir, registry, journal.New("d1"), observations, poison.NewTable(peers), zap.NewNop())
	must.NoError(t, f.dispatcher.Start(context.Background()))
	t.Cleanup(func() { _ = f.dispatcher.Stop(context.Background()) })
	return f
}

// permit gives the dispatcher a permit for the server that expires after length.
func (f *fixture) permit(length time.Duration) {
	f.gate.Apply([]*ownership.Permit{{
		Server:  testRef,
		Address: f.server.Address(),
		Slots:   3,
		Until:   time.Now().Add(length),
	}})
}

// awaitEvidence waits for an observation of the given kind.
func (f *fixture) awaitEvidence(t *testing.T, kind ownership.EvidenceKind) ownership.Evidence {
	timeout := time.After(time.Minute)
	for {
		select {
		case e := <-f.evidence:
			if e.Kind == kind {
				return e
			}
		case <-timeout:
			t.Fatalf("no evidence of kind %s within a minute", kind)
		}
	}
}

func TestProbesReportHealthDrainingTimeoutsAndRefusals(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	must.Eq(t, testRef, f.awaitEvidence(t, ownership.EvidenceHealthy).Server)
	f.server.SetFaults(backend.Faults{Frozen: true})
	f.awaitEvidence(t, ownership.EvidenceTimeout)
	f.server.SetFaults(backend.Faults{Draining: true})
	f.awaitEvidence(t, ownership.EvidenceDraining)
	f.server.Kill()
	f.awaitEvidence(t, ownership.EvidenceRefused)
	must.NoError(t, f.server.Restart())
	f.awaitEvidence(t, ownership.EvidenceHealthy)
}

func TestServerWithFailingHealthEndpointStaysHealthy(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	f.server.SetFaults(backend.Faults{FailHealthChecks: true})
	for range 10 {
		must.Eq(t, ownership.EvidenceHealthy, (<-f.evidence).Kind)
	}
}

// TestServerIsNotLostByOneLateProbe guards against judging a working server lost because
// one packet was lost or one machine was busy.
func TestServerIsNotLostByOneLateProbe(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	ref := model.ServerRef{Pool: testPool, Server: "drafts-2"}
	f.gate.Apply([]*ownership.Permit{{Server: ref, Address: startLateOnce(t), Slots: 3, Until: time.Now().Add(time.Hour)}})
	for {
		e := <-f.evidence
		if e.Server != ref {
			continue
		}
		must.Eq(t, ownership.EvidenceHealthy, e.Kind, must.Sprint(e.Detail))
		return
	}
}

// startLateOnce starts an HTTP server that answers all requests at once but the first,
// which it answers after the time limit of a probe. It returns its address.
func startLateOnce(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var requests atomic.Int64
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {
		if requests.Add(1) == 1 {
			time.Sleep(2 * probeTimeout)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func TestServersWithoutPermitAreDropped(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3}, settings.Pool{Slots: 3, Connections: 10})
	f.awaitEvidence(t, ownership.EvidenceHealthy)
	f.gate.Apply(nil)
	must.Eq(t, 0, f.poll(func() int {
		return len(*f.dispatcher.servers.Load())
	}, 0))
	must.Eq(t, 0, f.poll(func() int { return f.server.Stats().Connections }, 0))
}

// poll calls read until it returns want, for about a minute, and returns its last result.
func (f *fixture) poll(read func() int, want int) int {
	for range 6000 {
		if read() == want {
			return want
		}
		time.Sleep(10 * time.Millisecond)
	}
	return read()
}
