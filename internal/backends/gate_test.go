package backends

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// A request that was chosen for a server, or waited for a ticket, when the server asked for
// a pause is not sent: there is no network here.
func TestChosenRequestIsHeldBackRightBeforeSend(t *testing.T) {
	h := newHerd(t)
	b := h.daemons[0]
	server := b.Choose(h.snapshot, &Criteria{Service: "s"})
	b.RecordSigns(server, "earlier", &dialect.ServerResponse{HasPause: true, Pause: time.Minute})
	result := b.Send(context.Background(), &Attempt{ID: "chosen", Server: server, Deadline: time.Now().Add(time.Second)})
	must.Eq(t, NotRun, result.Execution)
	must.False(t, result.Sent)
	var held *HeldError
	must.True(t, errors.As(result.Err, &held))
	must.Eq(t, sendgate.Paused, held.Verdict.Reason)
	must.Eq(t, 1, b.gateMeters.held[sendgate.Paused].Get())
}

// unchangedRequests is a dialect that adds nothing to requests.
type unchangedRequests struct{ dialect.Dialect }

func (unchangedRequests) WriteServerRequest(*fasthttp.RequestHeader, time.Duration, model.ServerID) {}

// Requests whose connections were still being opened when the server asked for a pause
// are not sent over them, and the server does not count as failing.
func TestRequestIsHeldBackWhenItsConnectionOpensInPause(t *testing.T) {
	h := newHerd(t)
	b, server := h.daemons[0], h.servers[0]
	b.dialect = unchangedRequests{}
	toServer, atServer := net.Pipe()
	pool := httplink.NewPool("server", 1, func(string) (net.Conn, error) {
		b.RecordSigns(server, "earlier", &dialect.ServerResponse{HasPause: true, Pause: time.Minute})
		return toServer, nil
	})
	e := &endpoint{server: server, pool: pool}
	b.endpoints[server.ID] = e
	received := make(chan []byte, 1)
	go func() {
		sent, _ := io.ReadAll(atServer)
		received <- sent
	}()
	result := b.Send(context.Background(), &Attempt{ID: "waiting", Server: server, Request: &fasthttp.Request{}, Deadline: time.Now().Add(time.Second)})
	pool.Close()
	must.SliceEmpty(t, <-received)
	must.Eq(t, NotRun, result.Execution)
	must.False(t, result.Sent)
	must.True(t, isHeld(result.Err))
	must.True(t, e.state.ejectedUntil.IsZero())
}

// In a large service only some servers are considered for a request. The one that takes
// requests is found all the same.
func TestOnlyServerWithoutPauseIsFoundAmongMany(t *testing.T) {
	h := newHerd(t)
	b := h.daemons[0]
	for i, server := range h.servers {
		switch {
		case i == 77:
		case i%2 == 0:
			b.RecordSigns(server, "", &dialect.ServerResponse{HasPause: true, Pause: time.Minute})
		default:
			b.RecordSigns(server, "", &dialect.ServerResponse{Leaving: true})
		}
	}
	for range 50 {
		must.Eq(t, h.servers[77], b.Choose(h.snapshot, &Criteria{Service: "s"}))
	}
	must.Nil(t, b.HeldService(h.snapshot, "s", "", time.Now()))
	b.RecordSigns(h.servers[77], "", &dialect.ServerResponse{Leaving: true})
	must.Nil(t, b.Choose(h.snapshot, &Criteria{Service: "s"}))
	must.Eq(t, sendgate.Paused, b.HeldService(h.snapshot, "s", "", time.Now()).Verdict.Reason)
}

// What another server says at a reused address does not count for the earlier one.
func TestSignsOfAnotherServerDoNotCount(t *testing.T) {
	h := newHerd(t)
	b := h.daemons[0]
	b.RecordSigns(h.servers[0], "", &dialect.ServerResponse{Leaving: true, HasPause: true, Pause: time.Minute, ServerID: "another"})
	must.True(t, b.MayChoose(h.servers[0], time.Now()))
	later := &catalog.Server{ID: h.servers[0].ID, StartedMS: 5}
	b.RecordSigns(h.servers[0], "", &dialect.ServerResponse{Leaving: true})
	must.False(t, b.MayChoose(h.servers[0], time.Now()))
	must.True(t, b.MayChoose(later, time.Now()))
}

// A server counted as failing, and was left out for 0.4 s, when a caller closed its
// connection, or the grace period ended, while the connection to the server was opened.
func TestRequestCancelledWhileItsConnectionOpensIsNoFailureOfTheServer(t *testing.T) {
	h := newHerd(t)
	b, server := h.daemons[0], h.servers[0]
	b.dialect = unchangedRequests{}
	ctx, cancel := context.WithCancel(context.Background())
	pool := httplink.NewPool("server", 1, func(string) (net.Conn, error) {
		cancel()
		toServer, _ := net.Pipe()
		return toServer, nil
	})
	e := &endpoint{server: server, pool: pool}
	b.endpoints[server.ID] = e
	result := b.Send(ctx, &Attempt{ID: "cancelled", Server: server, Request: &fasthttp.Request{}, Deadline: time.Now().Add(time.Second)})
	pool.Close()
	must.Eq(t, NotRun, result.Execution)
	must.True(t, e.state.ejectedUntil.IsZero())
	must.Eq(t, 0, e.state.failureRate)
}

// A request for a key waited for a ticket so long that it reached its server after the time
// for which a server that is registered as leaving may get requests.
func TestRequestIsHeldBackWhenItsServerIsRegisteredAsLeaving(t *testing.T) {
	h := newHerd(t)
	b, chosen := h.daemons[0], h.servers[0]
	send := func() Result {
		return b.Send(context.Background(), &Attempt{ID: "waited", Server: chosen, Deadline: time.Now().Add(time.Second)})
	}
	leaving := *chosen
	leaving.Leaving, leaving.LeavingSince = true, time.Now().Add(-b.LeavingGrace()-time.Millisecond)
	b.catalog.PublishServers(map[model.ServerID]*catalog.Server{chosen.ID: &leaving})
	result := send()
	must.Eq(t, NotRun, result.Execution)
	must.False(t, result.Sent)
	var held *HeldError
	must.True(t, errors.As(result.Err, &held))
	must.Eq(t, sendgate.Leaving, held.Verdict.Reason)
	leaving.LeavingSince = time.Now().Add(time.Minute)
	must.Nil(t, b.Held(chosen, "in time", time.Now()))
	next := leaving
	next.StartedMS++
	b.catalog.PublishServers(map[model.ServerID]*catalog.Server{chosen.ID: &next})
	must.Nil(t, b.Held(chosen, "another process", time.Now()))
	b.catalog.PublishServers(map[model.ServerID]*catalog.Server{"other": h.servers[1]})
	must.NotNil(t, b.Held(chosen, "gone", time.Now()))
}
