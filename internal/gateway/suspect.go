package gateway

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// fingerprint identifies the request by what its caller repeats.
func (c *call) fingerprint() poison.Fingerprint {
	return poison.NewFingerprint(c.ctx.Method(), c.ctx.Request.Header.RequestURI(), c.body)
}

// suspected refuses a request under which servers have ended before.
func (c *call) suspected() *reason.Error {
	if c.gateway.poison.Decide(c.print, time.Now()) != poison.Reject {
		return nil
	}
	return reason.New(reason.SuspectedCrash, "judge", string(c.service), "servers ended each time that this request ran")
}

// blame notes the end of a server's process under this request, and tells the
// other daemons. A broken connection alone is no end: the server must refuse
// new ones.
func (c *call) blame(server *catalog.Server, result backends.Result) {
	if result.Ran != backends.RanMaybe || c.context.Err() != nil || timedOut(result.Why) {
		return
	}
	print, began := c.print, time.Now()
	go func() {
		conn, err := c.gateway.network.Dial(server.Address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		ref := model.ServerRef{Pool: server.Service, Server: server.ID}
		death := c.gateway.poison.Report(ref, []poison.Fingerprint{print}, began)
		c.gateway.log.Warn("server ended under a request", zap.String("request", string(c.said.ID)),
			zap.String("server", string(server.ID)), zap.String("death", string(death)), zap.Uint64("fingerprint", uint64(print)))
	}()
}

// absolve clears the request of the ends that it is blamed for.
func (c *call) absolve() {
	c.gateway.poison.Clear(c.print, "", time.Now())
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
