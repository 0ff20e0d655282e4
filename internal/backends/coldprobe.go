package backends

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/dialect"
)

const (
	healthTimeout  = 250 * time.Millisecond // of a health check; the health path answers at once
	maxHealthBytes = 64 << 10               // size limit of the body of its answer, which is not used
)

// CheckHealth asks a server whether it is cold, and records the answer.
func (b *Backends) CheckHealth(ctx context.Context, server *catalog.Server) {
	probe := coldstart.Probe{Started: time.Now()}
	probe.Answered, probe.ColdFor = b.askHealth(ctx, server)
	now := time.Now()
	b.cold.RecordProbe(server, probe, now)
	b.log.Debug("health checked, the server may be cold", zap.String("server", string(server.ID)), zap.Bool("answered", probe.Answered),
		zap.Duration("cold_for", probe.ColdFor), zap.Duration("took", now.Sub(probe.Started)))
}

// askHealth calls the health path of a server. It returns false unless the server's own
// process answered and is healthy, or says for how long it stays cold.
func (b *Backends) askHealth(ctx context.Context, server *catalog.Server) (answered bool, coldFor time.Duration) {
	configuration := b.catalog.Load().Configuration
	if configuration == nil || configuration.Services[server.Service] == nil {
		return false, 0
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(configuration.Services[server.Service].HealthPath)
	request.Header.SetHost(server.Address)
	exchange, failure := b.endpoint(server).pool.Do(ctx, request, response)
	if failure != nil {
		return false, 0
	}
	defer exchange.Close()
	exchange.DoNotReuse() // a second copy of the answer would be taken for that to the next request
	headers := b.dialect.ReadServerResponse(response)
	if headers.ServerID != server.ID || headers.ID != "" {
		exchange.Abort()
		return false, 0
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(exchange, maxHealthBytes)); err != nil {
		exchange.Abort()
	}
	b.RecordSigns(server, "", &headers)
	return readHealth(response.StatusCode(), &headers)
}

// readHealth returns what an answer to a health check says. A healthy server that does not say
// for how long it stays cold is warm; one that is full or starts says nothing.
func readHealth(status int, headers *dialect.ServerResponse) (answered bool, coldFor time.Duration) {
	if headers.HasWarmUp {
		return true, headers.WarmUpLeft
	}
	return status == fasthttp.StatusOK, 0
}
