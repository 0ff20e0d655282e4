package fenced

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// Framing is how an answer states where its body ends.
type Framing string

// Framings of an answer.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close" // of the connection
)

// Framings returns all framings.
func Framings() []Framing { return []Framing{FramedByLength, FramedByChunks, FramedByClose} }

// framingHeaders are the lines by which a head states the framing of the body.
var framingHeaders = map[Framing]string{
	FramedByLength: "Content-Length: 5\r\n",
	FramedByChunks: "Transfer-Encoding: chunked\r\n",
	FramedByClose:  "",
}

// answerHead returns the head of a success.
func answerHead(id string, framing Framing) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s: x\r\n\r\n", HeaderAttemptID, id, framingHeaders[framing], HeaderSignature)
}

// cutHead answers a request with the first bytes of a head and closes the connection.
func cutHead(ctx *fasthttp.RequestCtx, id string, count int, framing Framing) {
	head := answerHead(id, framing)
	cut := head[:min(count, len(head)-1)]
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _, _ = conn.Write([]byte(cut)) }) // a failure ends the connection as well
}
