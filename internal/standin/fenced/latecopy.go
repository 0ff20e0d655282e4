package fenced

import (
	"bytes"
	"net"
	"strconv"
)

// lateCopyListener wraps each connection in a lateCopyConn.
type lateCopyListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *lateCopyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return &lateCopyConn{TCPConn: tcp, server: l.server}, nil
}

// lateCopyConn sends a second copy of an answer when the next request arrives, where the
// answer to that one is expected. It is used by one goroutine at a time.
type lateCopyConn struct {
	*net.TCPConn
	server *Server
	path   string // of the last request
	answer []byte // written since the last request arrived
}

// Read implements net.Conn.
func (c *lateCopyConn) Read(p []byte) (int, error) {
	count, err := c.TCPConn.Read(p)
	if count == 0 {
		return count, err
	}
	if len(c.answer) > 0 {
		if c.server.copiesLate(c.path, statusOf(c.answer)) {
			_, _ = c.TCPConn.Write(c.answer) // a failure shows at the next write
		}
		c.answer = nil
	}
	if words := bytes.Fields(p[:count]); len(words) > 2 && bytes.HasPrefix(words[2], []byte("HTTP/")) {
		c.path = string(words[1])
	}
	return count, err
}

// Write implements net.Conn.
func (c *lateCopyConn) Write(p []byte) (int, error) {
	if c.server.hasLateCopies() {
		c.answer = append(c.answer, p...)
	}
	return c.TCPConn.Write(p)
}

// statusOf returns the status of an answer, 0 if it has none.
func statusOf(answer []byte) int {
	words := bytes.Fields(answer)
	if len(words) < 2 {
		return 0
	}
	status, _ := strconv.Atoi(string(words[1])) // 0 if it is no number
	return status
}

func (s *Server) hasLateCopies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LateCopies != nil
}

// copiesLate reports whether a second copy of an answer follows late.
func (s *Server) copiesLate(path string, status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LateCopies != nil && s.faults.LateCopies(path, status)
}
