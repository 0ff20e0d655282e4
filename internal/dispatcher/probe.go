package dispatcher

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Health probes.
const (
	probePeriod      = 100 * time.Millisecond // time without a response after which a server is probed
	probeTimeout     = 250 * time.Millisecond // time limit of one probe request
	secondProbeAfter = 100 * time.Millisecond // time without a response after which a second probe request is sent
	watchPeriod      = 50 * time.Millisecond  // interval at which the state of the servers is updated
	reportPeriod     = 50 * time.Millisecond  // minimum time between two equal reports of a responding server
)

// watch updates the state of the servers every watchPeriod and on each change of the
// permits, and probes servers that have not responded lately, until ctx ends.
func (d *Dispatcher) watch(ctx context.Context) {
	defer close(d.watchDone)
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.disconnects.cancelDisconnected(time.Now())
			d.poison.Expire(time.Now())
		case <-d.permitsChanged:
		case <-ctx.Done():
			return
		}
		d.updateServers()
	}
}

// updateServers applies the current permits, settings and assignments to the servers,
// reports their load and starts the probes that are due.
func (d *Dispatcher) updateServers() {
	now := time.Now()
	snapshot := d.directory.Load()
	d.joins.update(snapshot.Pools, now)
	permits := d.gate.Permits()
	d.recheckQueues(now)
	d.dropServers(permits)
	for _, permit := range permits {
		s, refusal := d.serverFor(permit.Server)
		if refusal != nil {
			continue
		}
		s.configure(snapshot.Settings, permit.Slots)
		s.limit.setMax(permit.Slots)
		s.queue.SetSlots(d.availableSlots(s, now))
		if report, due := s.load.report(s.ref, now); due {
			d.observations.SetLoad(report)
		}
		if s.health.probeDue(now) {
			d.startProbe(s)
		}
	}
}

// recheckQueues refuses waiting requests that must not be sent any more, because the
// server drains or the permit or the owner of the shard changed.
func (d *Dispatcher) recheckQueues(now time.Time) {
	for _, s := range *d.servers.Load() {
		s.queue.Recheck(func(r *request) *reason.Error {
			if refusal := s.drainingRefusal(now); refusal != nil {
				return refusal
			}
			return d.gate.Check(r.work.Server, r.work.Shard, r.work.Epoch, now)
		})
	}
}

// startProbe starts a probe of a server unless one is in progress.
func (d *Dispatcher) startProbe(s *server) {
	if !s.health.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.health.probing.Store(false)
		d.probe(s)
	}()
}

// probe requests the health path of the server, and once more on another connection when
// the response takes longer than secondProbeAfter: one packet may be lost. The server's
// failure is reported only when both requests failed.
func (d *Dispatcher) probe(s *server) {
	first := make(chan *httplink.Failure, 1)
	go func() { first <- d.probeOnce(s) }()
	select {
	case failure := <-first:
		if failure != nil {
			d.reportFailure(s, failure)
		}
		return
	case <-time.After(secondProbeAfter):
	}
	second := d.probeOnce(s)
	if failure := <-first; failure != nil && second != nil {
		d.reportFailure(s, second)
	}
}

// probeOnce requests the health path of the server and reports its response. Any HTTP
// response, whatever its status, proves that the process runs: what a health endpoint
// says of the server may be outdated or wrong.
func (d *Dispatcher) probeOnce(s *server) *httplink.Failure {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI(wire.PathHealth)
	request.Header.SetHost(s.address)
	exchange, failure := s.probeConns.Do(ctx, request, response)
	if failure != nil {
		return failure
	}
	d.reportResponse(s, &response.Header, "health endpoint answered "+strconv.Itoa(response.StatusCode()))
	_ = exchange.Discard()
	return nil
}

// reportResponse records that a server responded to a request or a probe, and
// reports it to control if it is due. A server that comes back gets a slow start.
func (d *Dispatcher) reportResponse(s *server, header *fasthttp.ResponseHeader, detail string) {
	kind := ownership.EvidenceHealthy
	if string(header.Peek(wire.HeaderDraining)) == "1" {
		kind = ownership.EvidenceDraining
	}
	report, recovered := s.health.recordResponse(kind, time.Now())
	if recovered {
		s.limit.startRamp(time.Now(), slowStart(s.config.Load().pool))
	}
	if report {
		d.report(s.ref, kind, detail)
	}
}

// reportFailure reports a connection that failed before the server responded.
func (d *Dispatcher) reportFailure(s *server, failure *httplink.Failure) {
	kind := evidenceKind(failure)
	s.health.recordFailure(kind)
	d.report(s.ref, kind, failure.Error())
}
