package metrics

import (
	"bytes"
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/netx"
)

// ServiceName is the metrics listener's name in the kernel.
const ServiceName kernel.Name = "metrics"

const (
	metricsPath = "/metrics"
	contentType = "text/plain; version=0.0.4; charset=utf-8"
)

// Listener serves the registry's Prometheus metrics over HTTP on the metrics address. It
// does nothing when none is configured.
type Listener struct {
	config   *config.Config
	network  *netx.Network
	registry *Registry
	log      *zap.Logger
	http     *fasthttp.Server
}

// NewListener returns a listener that has not been started.
func NewListener(c *config.Config, network *netx.Network, r *Registry, log *zap.Logger) *Listener {
	return &Listener{config: c, network: network, registry: r, log: log.Named(string(ServiceName))}
}

// Name implements kernel.Service.
func (l *Listener) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (l *Listener) After() []kernel.Name { return nil }

// Ready implements kernel.Service.
func (l *Listener) Ready() error { return nil }

// Start implements kernel.Service.
func (l *Listener) Start(context.Context) error {
	if l.config.Fenced.MetricsAddress == "" {
		return nil
	}
	listener, err := l.network.Listen(l.config.Fenced.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	l.config.Fenced.MetricsAddress = listener.Addr().String()
	l.http = &fasthttp.Server{Handler: l.handle, NoDefaultServerHeader: true}
	go func() {
		if err := l.http.Serve(listener); err != nil {
			l.log.Warn("metrics HTTP server failed; metrics are no longer served", zap.Error(err))
		}
	}()
	return nil
}

func (l *Listener) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != metricsPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var text bytes.Buffer
	l.registry.WriteText(&text)
	ctx.SetContentType(contentType)
	ctx.SetBody(text.Bytes())
}

// Stop implements kernel.Service.
func (l *Listener) Stop(ctx context.Context) error {
	if l.http == nil {
		return nil
	}
	return errors.Wrap(l.http.ShutdownWithContext(ctx), "close the metrics address")
}
