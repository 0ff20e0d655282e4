package keeper

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// leavingDialect reads each response as one of a server that is leaving.
type leavingDialect struct{ dialect.Dialect }

func (leavingDialect) WriteGrant(r *fasthttp.Request, _ model.ServerID, _ dialect.Grant) {
	r.SetRequestURI("/grant")
}

func (leavingDialect) ReadGrantResponse(int) dialect.GrantOutcome { return dialect.GrantAccepted }

func (leavingDialect) ReadServerResponse(*fasthttp.Response) dialect.ServerResponse {
	return dialect.ServerResponse{Leaving: true}
}

// A server that said in the head of its answer to a grant that it leaves kept its keys if the
// body of that answer was cut.
func TestSignsCountWhenTheBodyOfTheAnswerIsCut(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	go func() {
		conn, err := peer.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"))
		_ = conn.Close()
	}()
	server := &catalog.Server{ID: "s", Service: "drafts", Address: peer.Addr().String()}
	b := newTestBackends()
	client := newHTTPClient(leavingDialect{}, &netx.Network{}, server, b)
	defer client.close()
	_, result := client.grant(t.Context(), dialect.Grant{Duration: time.Second})
	must.Error(t, result.err)
	must.False(t, b.MayChoose(server, time.Now()))
}

func newTestBackends() *backends.Backends {
	c := &config.Config{Fenced: &config.Fenced{MemoryMB: 100, DrainSeconds: 2}}
	return backends.New(c, nil, nil, catalog.New(), func() int { return 1 }, bytebudget.New(1<<20), metrics.New(), zap.NewNop())
}

// startRepeatingPeer starts a server that answers the calls on each of its connections one
// after the other, and returns its address. A second copy of each answer comes when the next
// call on the connection arrives. status returns the status of the answer to a call about the
// keys from a first one; a release hands over "state-FIRST".
func startRepeatingPeer(t *testing.T, status func(first int) int) string {
	return startPeer(t, func(conn net.Conn) { answerTwice(conn, status) })
}

// startPeer starts a server that serves each of its connections with a function, and returns
// its address.
func startPeer(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func answerTwice(conn net.Conn, status func(first int) int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var last []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var keys struct{ From int }
		_ = json.NewDecoder(request.Body).Decode(&keys) // a probe has no body
		_, _ = conn.Write(last)                         // a failure shows at the next read
		last = fmt.Appendf(nil, "HTTP/1.1 %03d Status\r\nChicorylug-Handover: state-%d\r\nContent-Length: 0\r\n\r\n", status(keys.From), keys.From)
		_, _ = conn.Write(last) // the same
	}
}

func alwaysOK(int) int { return fasthttp.StatusOK }

// A release and a grant that were answered with status 000 counted as accepted.
func TestAnswerWithForbiddenStatusAcceptsNothing(t *testing.T) {
	for _, status := range []int{0, 99, 600, 101} {
		client := newTestClient(t, startRepeatingPeer(t, func(int) int { return status }))
		must.Error(t, client.release(t.Context(), time.Second, 1, 1, 7).err, must.Sprint(status))
		outcome, result := client.grant(t.Context(), dialect.Grant{Duration: time.Second})
		must.Error(t, result.err)
		must.Eq(t, dialect.GrantUnknown, outcome)
	}
}

// A release and a grant whose answers had a space in the name of a field counted as accepted,
// and the field as the one without the space.
func TestAnswerWithInvalidFieldNameAcceptsNothing(t *testing.T) {
	for _, field := range []string{"X A: v", "Chicorylug-Handover : state", "Content-Length : 0"} {
		client := newTestClient(t, startPeer(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n\r\n", field)
			_ = conn.Close()
		}))
		result := client.release(t.Context(), time.Second, 1, 1, 7)
		must.Error(t, result.err, must.Sprint(field))
		must.Eq(t, "", result.state)
		outcome, result := client.grant(t.Context(), dialect.Grant{Duration: time.Second})
		must.Error(t, result.err)
		must.Eq(t, dialect.GrantUnknown, outcome)
	}
}

// newTestClient returns a client for the server at an address.
func newTestClient(t *testing.T, address string) *httpClient {
	server := &catalog.Server{ID: "s", Service: "drafts", Address: address}
	client := newHTTPClient(&adapter.Dialect{}, &netx.Network{}, server, newTestBackends())
	t.Cleanup(client.close)
	return client
}

// A late copy of the answer to a release was taken for the answer to the next one: the keys
// went to another server while work on them was still running.
func TestLateCopyAnswersNoOtherRelease(t *testing.T) {
	client := newTestClient(t, startRepeatingPeer(t, alwaysOK))
	for first := range 6 {
		result := client.release(t.Context(), time.Second, first, first, 7)
		must.NoError(t, result.err)
		must.Eq(t, fmt.Sprintf("state-%d", first), result.state)
	}
}

// A late copy of the answer to a probe was taken for the answer to a release.
func TestLateCopyOfProbeAnswersNoRelease(t *testing.T) {
	client := newTestClient(t, startRepeatingPeer(t, alwaysOK))
	must.Error(t, client.probe(t.Context(), "/healthz")) // the answer names no server
	result := client.release(t.Context(), time.Second, 1, 1, 7)
	must.NoError(t, result.err)
	must.Eq(t, "state-1", result.state)
}

// A late copy of the answer to a refused grant was taken for the answer to the next one: the
// keeper then took keys for free that the server had been granted.
func TestLateCopyRefusesNoOtherGrant(t *testing.T) {
	isRefused := func(first int) bool { return first%3 == 0 }
	client := newTestClient(t, startRepeatingPeer(t, func(first int) int {
		if isRefused(first) {
			return fasthttp.StatusServiceUnavailable
		}
		return fasthttp.StatusOK
	}))
	answered := 0
	for first := range 9 {
		outcome, result := client.grant(t.Context(), dialect.Grant{From: first, To: first, Fence: 7, Duration: time.Second})
		if !result.sent {
			break // each connection ends with its first copy, and no spare one is left
		}
		must.True(t, isRefused(first) || mayBeInForce(outcome, result), must.Sprintf("keys from %d: %v", first, result.err))
		answered++
	}
	must.Greater(t, 2, answered)
}

// A server sent bytes without end, in a head or a body, as the answer to a call of the keeper. The
// call must end early, and keep none of them.
func TestEndlessAnswersToCallsAreCut(t *testing.T) {
	const bound = 4 << 20 // bytes that the server can send before the connection ends, buffers included
	for _, head := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		sent := make(chan int, 8)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() { sent <- sendEndlessly(conn, head) }()
			}
		}()
		client := newTestClient(t, listener.Addr().String())
		must.Error(t, client.release(t.Context(), 10*time.Second, 1, 1, 7).err)
		must.Less(t, bound, <-sent, must.Sprint(head))
		must.Error(t, client.probe(t.Context(), "/healthz"))
		must.Less(t, bound, <-sent, must.Sprint(head))
		_, result := client.grant(t.Context(), dialect.Grant{From: 1, To: 1, Fence: 7, Duration: time.Second})
		must.Error(t, result.err)
		client.close()
		must.Less(t, bound, <-sent, must.Sprint(head))
		must.NoError(t, listener.Close())
	}
}

// sendBufferBytes is the size of the kernel's send buffer of a server that sends without end. By
// default it grows to some MiB, which the server can send whatever the other side reads.
const sendBufferBytes = 64 << 10

// sendEndlessly reads a request and answers with a text and then without end, until the
// connection fails. It returns the number of bytes sent.
func sendEndlessly(conn net.Conn, head string) int {
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	_, _ = conn.Read(make([]byte, 4096)) // a connection may be opened and never used
	sent, err := conn.Write([]byte(head))
	filler := []byte(strings.Repeat("x", 4096))
	for err == nil {
		var count int
		count, err = conn.Write(filler)
		sent += count
	}
	return sent
}
