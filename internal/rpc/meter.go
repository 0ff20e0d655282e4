package rpc

import (
	"expvar"
	"net"

	"github.com/chicorylug/chicorylug/internal/metrics"
)

// meter counts the bytes and messages of one daemon's control traffic. A message is
// one read or write of a connection.
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

// meteredConn is a connection whose traffic is counted.
type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements io.Reader and counts what was read.
func (c *meteredConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	c.meter.bytesIn.Add(int64(count))
	if count > 0 {
		c.meter.messagesIn.Add(1)
	}
	return count, err
}

// Write implements io.Writer and counts what it passes to the connection. It counts
// before the write because the peer may answer before the write returns.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.meter.bytesOut.Add(int64(len(p)))
	c.meter.messagesOut.Add(1)
	return c.Conn.Write(p)
}
