package rpc

import (
	"expvar"
	"net"

	"github.com/chicorylug/chicorylug/internal/metrics"
)

// meter counts control traffic of one daemon.
type meter struct {
	bytesIn, bytesOut, messagesIn, messagesOut *expvar.Int
}

func newMeter(registry *metrics.Registry) *meter {
	return &meter{
		bytesIn:     registry.Int("control_bytes_in"),
		bytesOut:    registry.Int("control_bytes_out"),
		messagesIn:  registry.Int("control_messages_in"),
		messagesOut: registry.Int("control_messages_out"),
	}
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements io.Reader and counts.
func (c *meteredConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.meter.bytesIn.Add(int64(count))
	if count > 0 {
		c.meter.messagesIn.Add(1)
	}
	return count, err
}

// Write implements io.Writer and counts what is handed to the connection. It
// counts first: the peer may answer before a write returns.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.meter.bytesOut.Add(int64(len(p)))
	c.meter.messagesOut.Add(1)
	return c.Conn.Write(p)
}
