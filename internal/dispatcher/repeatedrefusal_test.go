package dispatcher

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// repeatingServer refuses the request /first and writes that refusal once more when the next
// request arrives on the same connection, before the answer to that one. It runs all others.
type repeatingServer struct {
	runs atomic.Int32
}

func (s *repeatingServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *repeatingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderNotRun)
	reader, repeated := bufio.NewReader(conn), ""
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		answer := repeated + success
		switch path := string(request.URI().Path()); {
		case path == "/first":
			answer, repeated = refusal, refusal
		case strings.HasPrefix(path, "/run"):
			s.runs.Add(1)
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// A server wrote an earlier refusal once more on a kept connection, where the answer to the next
// request was expected: that one ran and was refused as not run.
func TestRepeatedRefusalRefusesNoOtherRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &repeatingServer{}
	go server.serve(listener)
	f := startFixture(t, backend.Options{Slots: 3}, smallPool())
	f.gate.Apply([]*ownership.Permit{{Server: testRef, Address: listener.Addr().String(), Slots: 3, Until: time.Now().Add(time.Hour)}})
	f.poll(func() int {
		_, refusal := f.send(t, newWork("/run/begin", time.Minute))
		if refusal == nil {
			return int(server.runs.Load())
		}
		return 0
	}, 1)
	_, refusal := f.send(t, newWork("/first", time.Minute))
	must.NotNil(t, refusal)
	must.Eq(t, "not_run", string(refusal.Outcome))
	before := server.runs.Load()
	_, refusal = f.send(t, newWork("/run/next", time.Minute))
	must.Eq(t, before+1, server.runs.Load())
	must.Nil(t, refusal)
}
