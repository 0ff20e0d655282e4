package platformd

import (
	"net"

	"github.com/valyala/fasthttp"
)

func (s *Server) putObject(ctx *fasthttp.RequestCtx, name string) {
	s.writes.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(ctx)
	s.noteObjectWrite(name)
	s.objects[name] = append([]byte(nil), ctx.PostBody()...)
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx, name string) {
	s.reads.Add(1)
	s.mu.Lock()
	s.setEra(ctx)
	body, ok := s.objects[name]
	s.mu.Unlock()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}

// closeConn closes a connection without sending a response.
func closeConn(conn net.Conn) { _ = conn.Close() }
