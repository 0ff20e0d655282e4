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

// newFingerprint returns the fingerprint of the request's method, URI and body, which
// stay the same when the caller retries it.
func (c *call) newFingerprint() poison.Fingerprint {
	return poison.NewFingerprint(c.ctx.Method(), c.ctx.Request.Header.RequestURI(), c.body.parts...)
}

// checkSuspected refuses a request that has repeatedly crashed the servers that ran it.
func (c *call) checkSuspected() *reason.Error {
	if c.gateway.poison.Decide(c.fingerprint, time.Now()) != poison.Reject {
		return nil
	}
	return reason.New(reason.SuspectedCrash, "judge", string(c.service), "servers ended each time that this request ran")
}

// reportCrash records in the background that a server process ended while it ran this
// request, and notifies the other daemons. A broken connection alone is no proof of
// a crash: the server must also refuse new connections.
func (c *call) reportCrash(server *catalog.Server, result backends.Result) {
	if result.Execution != backends.MayHaveRun || c.context.Err() != nil || timedOut(result.Err) ||
		errors.Is(result.Err, backends.ErrNoAnswer) || errors.Is(result.Err, backends.ErrNoMemory) {
		return
	}
	fingerprint, detectedAt := c.fingerprint, time.Now()
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
		crashID := c.gateway.poison.Report(ref, server.StartedMS, []poison.Fingerprint{fingerprint}, detectedAt)
		c.gateway.log.Warn("server process ended while running a request", zap.String("request", string(c.headers.ID)),
			zap.String("server", string(server.ID)), zap.String("crash", string(crashID)), zap.Uint64("fingerprint", uint64(fingerprint)))
	}()
}

// clearSuspicion removes the request from the suspects of earlier crashes, since it
// has completed.
func (c *call) clearSuspicion() {
	c.gateway.poison.Clear(c.fingerprint, "", time.Now())
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
