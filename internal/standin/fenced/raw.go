package fenced

import (
	"bufio"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// RawAnswer writes the answer to a request of which only the head was read, and ends the
// connection as it likes. id is the request's attempt ID.
type RawAnswer func(conn *net.TCPConn, id string)

// RawServer is a registered server that reads the heads of requests only and answers with bytes
// of a test's choice. A connection carries one request.
type RawServer struct {
	*Server

	mu     sync.Mutex
	answer RawAnswer
}

// StartRaw starts a raw server and registers it as ready.
func StartRaw(o Options, answer RawAnswer) (*RawServer, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s: listen", o.ID)
	}
	raw := &RawServer{Server: newServer(o, listener), answer: answer}
	go raw.serve()
	raw.register("ready")
	return raw, nil
}

// SetAnswer replaces the answer to all further requests.
func (s *RawServer) SetAnswer(answer RawAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *RawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			go s.serveConn(tcp)
		}
	}
}

func (s *RawServer) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	var head fasthttp.RequestHeader
	if err := head.Read(bufio.NewReader(&oneByteReader{conn})); err != nil {
		return
	}
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	answer(conn, string(head.Peek(HeaderAttemptID)))
}

// oneByteReader reads single bytes, so that the body after a head stays in the connection.
type oneByteReader struct{ net.Conn }

// Read implements io.Reader.
func (r *oneByteReader) Read(p []byte) (int, error) { return r.Conn.Read(p[:min(len(p), 1)]) }

// Reset ends a connection with a reset, as RawAnswer may.
func Reset(conn *net.TCPConn) { resetConn(conn) }
