package entry

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// relay reads a dispatcher's answer and frees the exchange when it is closed.
type relay struct {
	exchange *httplink.Exchange
	answer   *fasthttp.Response
	cancel   context.CancelFunc
	ended    bool
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) { return r.exchange.Read(p) }

// Close implements io.Closer.
func (r *relay) Close() error {
	if r.ended {
		return nil
	}
	r.ended = true
	_ = r.exchange.Close()
	r.cancel()
	fasthttp.ReleaseResponse(r.answer)
	return nil
}

// refusal reads the dispatcher's refusal.
func (r *relay) refusal(dispatcher *ownership.Dispatcher) *reason.Error {
	defer func() { _ = r.Close() }()
	body, err := io.ReadAll(r)
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", string(dispatcher.Daemon), "read refusal: %v", err)
	}
	refusal, err := reason.Parse(body)
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", string(dispatcher.Daemon), "parse refusal: %v", err)
	}
	return refusal
}
