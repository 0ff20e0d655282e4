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

const benchSettings = `{
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

// got is a request that a fake dispatcher received; body is nil when it was not whole.
type got struct {
	header http.Header
	host   string
	body   []byte
}

// answerer returns the raw bytes of an answer; the connection is closed after them.
type answerer func(number int, g got) string

// bench is an entry in front of a fake dispatcher.
type bench struct {
	entry   *Entry
	address string

	mu     sync.Mutex
	answer answerer
	got    []got
}

func startBench(t testing.TB) *bench {
	b := &bench{}
	dispatch, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = dispatch.Close() })
	go b.serve(dispatch)
	standin, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(standin.Stop)
	conf := &config.Config{Name: "d1", CallerAddress: "127.0.0.1:0"}
	registry := metrics.New()
	claims := claim.New(conf, adapter.NewStore(standin.Address(), nil), registry, zap.NewNop())
	b.entry = New(conf, &netx.Network{}, benchDirectory(t, dispatch.Addr().String()), registry, journal.New("d1"), claims, zap.NewNop())
	must.NoError(t, b.entry.Start(context.Background()))
	t.Cleanup(func() { _ = b.entry.http.Shutdown() })
	b.address = conf.CallerAddress
	return b
}

func benchDirectory(t testing.TB, dispatch string) *directory.Directory {
	tree, err := settings.Parse([]byte(benchSettings))
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
				{Daemon: "d2", State: ownership.DispatcherActive, Dispatch: dispatch},
			}}},
		})
	}))
	return dir
}

// answerWith sets what the fake dispatcher answers from now on.
func (b *bench) answerWith(answer answerer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
}

func (b *bench) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(conn)
	}
}

func (b *bench) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	g := got{header: request.Header, host: request.Host}
	if body, err := io.ReadAll(request.Body); err == nil {
		g.body = body
	}
	b.mu.Lock()
	b.got = append(b.got, g)
	number, answer := len(b.got), b.answer
	b.mu.Unlock()
	if g.body != nil {
		_, _ = io.WriteString(conn, withID(answer(number, g), g.header.Get(wire.HeaderRequestID)))
	}
}

// withID names the request in a raw answer that names none.
func withID(raw, id string) string {
	line, rest, found := strings.Cut(raw, "\r\n")
	if !found || strings.Contains(rest, wire.HeaderRequestID) {
		return raw
	}
	return line + "\r\n" + wire.HeaderRequestID + ": " + id + "\r\n" + rest
}

// received returns the requests that reached the dispatcher since the last call.
func (b *bench) received() []got {
	b.mu.Lock()
	defer b.mu.Unlock()
	received := b.got
	b.got = nil
	return received
}

// seen is what a caller saw: status 0 when the connection was cut.
type seen struct {
	status int
	header http.Header
	body   []byte
	reason *reason.Error
}

// send writes raw bytes as a caller and reads one answer.
func (b *bench) send(t testing.TB, raw string) seen {
	conn, err := net.Dial("tcp", b.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, raw)
	must.NoError(t, err)
	return readAnswer(conn, strings.HasPrefix(raw, "HEAD"))
}

func readAnswer(conn net.Conn, head bool) seen {
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	method := http.MethodGet
	if head {
		method = http.MethodHead
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return seen{}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return seen{}
	}
	s := seen{status: answer.StatusCode, header: answer.Header, body: body}
	if answer.Header.Get(wire.HeaderReason) != "" {
		s.reason, _ = reason.Parse(body)
	}
	return s
}

func fixed(body string, headers ...string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + strings.Join(headers, "\r\n") + ends(headers) + "\r\n" + body
}

func chunked(body string, headers ...string) string {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + strings.Join(headers, "\r\n") + ends(headers) + "\r\n")
	for len(body) > 0 {
		piece := body[:min(len(body), 4000)]
		body = body[len(piece):]
		b.WriteString(strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n")
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

func ends(headers []string) string {
	if len(headers) == 0 {
		return ""
	}
	return "\r\n"
}

func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + ends(headers) + "\r\n"
}
