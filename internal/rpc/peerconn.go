package rpc

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/creachadair/jrpc2"
)

// blockedWriteTime is the time after which a write counts as blocked.
const blockedWriteTime = 20 * time.Millisecond

// peerConn is a connection to a peer, with its client. It records whether the peer answers
// and takes requests. One write is in progress at a time.
type peerConn struct {
	net.Conn
	client *jrpc2.Client
	// stopped reports that the client has stopped. The client's own IsStopped would
	// block while a write is in progress, and so on a peer that does not read.
	stopped  atomic.Bool
	lastRead atomic.Int64 // Unix nanoseconds at which bytes were last received
	writes   atomic.Int64 // begun and ended writes, so odd during one
}

// Read implements io.Reader.
func (c *peerConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if count > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return count, err
}

// Write implements io.Writer.
func (c *peerConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	return c.Conn.Write(p)
}

// silentSince reports whether the peer has sent nothing since a time.
func (c *peerConn) silentSince(start time.Time) bool { return c.lastRead.Load() < start.UnixNano() }

// writeBlocks reports whether a write has been in progress for blockedWriteTime. It takes as
// long.
func (c *peerConn) writeBlocks() bool {
	writes := c.writes.Load()
	if writes%2 == 0 {
		return false
	}
	time.Sleep(blockedWriteTime)
	return c.writes.Load() == writes
}
