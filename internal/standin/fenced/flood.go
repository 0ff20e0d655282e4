package fenced

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// FloodKind is where a flooding server sends bytes without end.
type FloodKind string

// Kinds of floods. A trickle sends one byte at a time, the others as much as the
// connection takes.
const (
	NoFlood           FloodKind = ""
	FloodStatusLine   FloodKind = "status line"
	FloodHeader       FloodKind = "header"
	FloodHeaders      FloodKind = "headers"
	FloodInterim      FloodKind = "interim responses"
	FloodBody         FloodKind = "body without a length"
	FloodChunks       FloodKind = "chunked body"
	FloodTrickledBody FloodKind = "trickled body"
)

// FloodKinds returns all kinds of floods.
func FloodKinds() []FloodKind {
	return []FloodKind{FloodStatusLine, FloodHeader, FloodHeaders, FloodInterim, FloodBody, FloodChunks, FloodTrickledBody}
}

const (
	floodPieceBytes = 4096
	trickleInterval = 50 * time.Millisecond // between the bytes of a trickle
)

// flood answers a request with bytes without end. It returns at once; the bytes are sent
// until the daemon closes the connection.
func flood(ctx *fasthttp.RequestCtx, kind FloodKind, id string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n", HeaderAttemptID, id, HeaderSignature)
		filler := strings.Repeat("x", floodPieceBytes)
		switch kind {
		case FloodStatusLine:
			sendEndlessly(conn, "HTTP/1.1 200 ", filler, 0)
		case FloodHeader:
			sendEndlessly(conn, head+"X-Long: ", filler, 0)
		case FloodHeaders:
			sendEndlessly(conn, head, "X-More: "+filler+"\r\n", 0)
		case FloodInterim:
			sendEndlessly(conn, "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0)
		case FloodBody:
			sendEndlessly(conn, head+"\r\n", filler, 0)
		case FloodChunks:
			sendEndlessly(conn, head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", floodPieceBytes, filler), 0)
		case FloodTrickledBody:
			sendEndlessly(conn, head+"\r\n", "x", trickleInterval)
		}
	})
}

// sendEndlessly sends the first text, and then the other one again and again with a
// pause in between, until the connection fails.
func sendEndlessly(conn net.Conn, first, repeated string, pause time.Duration) {
	_, err := io.WriteString(conn, first)
	for err == nil {
		_, err = io.WriteString(conn, repeated)
		time.Sleep(pause)
	}
}

// hang never answers a request, nor any other one on its connection. It returns at once;
// the connection stays open until the daemon closes it.
func hang(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
}
