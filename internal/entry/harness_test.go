package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/claim"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	"github.com/chicorylug/chicorylug/internal/wire"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const testSettings = `{
  "fleet": {"ranks": [{"name": "urgent", "target_ms": 100, "floor_percent": 0}]},
  "teams": {"t": {
    "pools": {"drafts": {"keyed": true, "shards": 1, "slots": 3, "connections": 30}},
    "routes": [
      {"name": "read", "methods": ["GET", "HEAD"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "timeout_ms": 3000},
      {"name": "write", "methods": ["PUT"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "repeat": "idempotent", "timeout_ms": 3000, "max_body_bytes": 1000000},
      {"name": "seal", "methods": ["POST"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "repeat": "once", "timeout_ms": 3000}
    ]
  }}
}`

// receivedRequest is a request that a fake dispatcher received. body is nil when it
// was incomplete.
type receivedRequest struct {
	header http.Header
	host   string
	body   []byte
}

// responder returns the raw bytes of the response to a request. number counts the
// requests from 1 since the last call of received. The connection is closed after
// the response.
type responder func(number int, req receivedRequest) string

// harness runs an entry in front of a fake dispatcher.
type harness struct {
	entry   *Entry
	address string // host:port of the entry for callers

	mu       sync.Mutex
	respond  responder         // makes the responses of the fake dispatcher
	requests []receivedRequest // requests that received has not returned yet
}

func startHarness(t testing.TB) *harness {
	h := &harness{}
	dispatcher, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = dispatcher.Close() })
	go h.serve(dispatcher)
	platform, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(platform.Stop)
	conf := &config.Config{Name: "d1", CallerAddress: "127.0.0.1:0"}
	registry := metrics.New()
	claims := claim.New(conf, adapter.NewStore(platform.Address(), nil), registry, zap.NewNop())
	h.entry = New(conf, &netx.Network{}, newTestDirectory(t, dispatcher.Addr().String()), registry, journal.New("d1"), claims, zap.NewNop())
	must.NoError(t, h.entry.Start(context.Background()))
	t.Cleanup(func() { _ = h.entry.http.Shutdown() })
	h.address = conf.CallerAddress
	return h
}

func newTestDirectory(t testing.TB, dispatcher string) *directory.Directory {
	tree, err := settings.Parse([]byte(testSettings))
	must.NoError(t, err)
	compiled, err := settings.Compile(tree, 1)
	must.NoError(t, err)
	dir := directory.New()
	loop := control.NewLoop()
	t.Cleanup(loop.Close)
	must.NoError(t, loop.Call(context.Background(), func() {
		dir.PublishSettings(compiled)
		dir.PublishAssignment(&ownership.Assignment{
			Pool: "drafts", Term: 1, Seq: 1, Keyed: true, FixedShards: 1,
			Shards: []ownership.Shard{{Server: "s1", Epoch: 1}},
			Servers: []ownership.Server{{ID: "s1", State: ownership.ServerActive, Dispatchers: []ownership.Dispatcher{
				{Daemon: "d2", State: ownership.DispatcherActive, Dispatch: dispatcher},
			}}},
		})
	}))
	return dir
}

// respondWith sets the responses of the fake dispatcher from now on.
func (h *harness) respondWith(respond responder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.respond = respond
}

func (h *harness) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serveConn(conn)
	}
}

func (h *harness) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	req := receivedRequest{header: request.Header, host: request.Host}
	if body, err := io.ReadAll(request.Body); err == nil {
		req.body = body
	}
	h.mu.Lock()
	h.requests = append(h.requests, req)
	number, respond := len(h.requests), h.respond
	h.mu.Unlock()
	if req.body != nil {
		_, _ = io.WriteString(conn, withID(respond(number, req), req.header.Get(wire.HeaderRequestID)))
	}
}

// withID adds the request ID header to a raw response that has none.
func withID(raw, id string) string {
	line, rest, found := strings.Cut(raw, "\r\n")
	if !found || strings.Contains(rest, wire.HeaderRequestID) {
		return raw
	}
	return line + "\r\n" + wire.HeaderRequestID + ": " + id + "\r\n" + rest
}

// received returns the requests that reached the fake dispatcher since the last call.
func (h *harness) received() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	received := h.requests
	h.requests = nil
	return received
}

// callerResult is the response that a caller received. The status is 0 when the
// connection was closed before the response was complete.
type callerResult struct {
	status int
	header http.Header
	body   []byte
	reason *reason.Error
}

// send writes the raw bytes of a request as a caller and reads one response.
func (h *harness) send(t testing.TB, raw string) callerResult {
	conn, err := net.Dial("tcp", h.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, raw)
	must.NoError(t, err)
	return readResponse(conn, strings.HasPrefix(raw, "HEAD"))
}

func readResponse(conn net.Conn, head bool) callerResult {
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	method := http.MethodGet
	if head {
		method = http.MethodHead
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return callerResult{}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callerResult{}
	}
	result := callerResult{status: response.StatusCode, header: response.Header, body: body}
	if response.Header.Get(wire.HeaderReason) != "" {
		result.reason, _ = reason.Parse(body)
	}
	return result
}

func fixedResponse(body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + strings.Join(headers, "\r\n") + lastCRLF(headers) + "\r\n" + body
}

func chunkedResponse(body string, headers ...string) string {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + strings.Join(headers, "\r\n") + lastCRLF(headers) + "\r\n")
	for len(body) > 0 {
		chunk := body[:min(len(body), 4000)]
		body = body[len(chunk):]
		b.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n")
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// lastCRLF returns the line end of the last of the joined headers, if there are any.
func lastCRLF(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return "\r\n"
}

func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + lastCRLF(headers) + "\r\n"
}
