package daemon_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// rawAnswer returns a signed answer with more header fields, each with its line end, and a body.
func rawAnswer(statusLine, id, fields, body string) string {
	return strings.TrimSuffix(rawHead(statusLine, id), "\r\n") + fields + "\r\n" + body
}

// rawService is a cluster of one daemon and one raw server, which answers requests with bytes of
// a test's choice.
type rawService struct {
	*cluster
	server *fenced.RawServer
}

func newRawService(t *testing.T) *rawService {
	c := newCluster(t, 1, 1, 0)
	return &rawService{cluster: c, server: c.startRaw(func(conn *net.TCPConn, _ string) { fenced.Reset(conn) })}
}

// answerWith returns what a caller gets for a request that the server answers with the bytes that
// answer returns. The request must reach the server once.
func (s *rawService) answerWith(answer func(id string) string) response {
	s.t.Helper()
	var sends atomic.Int64
	s.server.SetAnswer(func(conn *net.TCPConn, id string) {
		sends.Add(1)
		_, _ = io.WriteString(conn, answer(id))
	})
	got := s.send(s.daemons[0], "POST", "/seal/x", -1, "")
	must.Eq(s.t, 1, sends.Load(), must.Sprint(got))
	return got
}

// mustNotPassOn fails the test unless a caller is told that the outcome of its request is unknown.
func mustNotPassOn(t *testing.T, got response, answer string) {
	t.Helper()
	must.Eq(t, 502, got.status, must.Sprintf("%q: %v", answer, got))
	must.Eq(t, "", got.signature, must.Sprintf("%q", answer))
}

// Callers got answers in whose head the name of a field held a space, with that field passed on,
// or with a part of the server's body, where the field had counted as the body's length.
func TestAnswerWithInvalidFieldNameIsNotPassedOn(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK"
	const interim = "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n"
	s := newRawService(t)
	for _, test := range []struct{ statusLine, fields string }{
		{statusLine, "X A: v\r\n"},
		{statusLine, "X-A : v\r\n"},
		{statusLine, "X-A\t: v\r\n"},
		{statusLine, "X-Before: v\r\n folded\r\nX A: v\r\n"},
		{statusLine, "X A: v\r\n folded\r\n"},
		{statusLine, "X-A : v\r\n folded\r\n"},
		{statusLine, "Content-Length : 2\r\n"},
		{statusLine, "Content- Length: 2\r\n"},
		{statusLine, "Content-Length: 4\r\nX A: v\r\n"},
		{statusLine, "Transfer-Encoding : chunked\r\n"},
		{statusLine, fenced.HeaderSignature + " : y\r\n"},
		{statusLine, ": v\r\n"},
		{statusLine, "X-A\r\n"},
		{interim + statusLine, "Content-Length: 4\r\n"},
	} {
		got := s.answerWith(func(id string) string { return rawAnswer(test.statusLine, id, test.fields, "body") })
		mustNotPassOn(t, got, test.statusLine+test.fields)
	}
	got := s.answerWith(func(id string) string {
		return rawAnswer(statusLine, id, "!#$%&'*+-.^_`|~09azAZ: \x80\t\xff\r\n", "body")
	})
	must.Eq(t, 200, got.status)
	must.Eq(t, "body", got.body)
}

// The same for every other byte that no name may hold.
func TestAnswerWithInvalidByteInFieldNameIsNotPassedOn(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	const ends = ":\n" // end the name or the line
	s := newRawService(t)
	for b := range 256 {
		name := "X" + string([]byte{byte(b)}) + "A"
		if strings.IndexByte(token+ends, byte(b)) >= 0 {
			continue
		}
		got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 OK", id, name+": v\r\n", "body") })
		mustNotPassOn(t, got, name)
	}
}

// A server asked for a pause, and said that it leaves, in fields whose names ended with a space:
// nothing of that head counts, and the server gets the next request.
func TestNothingIsTakenFromHeadWithInvalidFieldName(t *testing.T) {
	s := newRawService(t)
	for _, field := range []string{
		"Server-Leaving : 1\r\n", "Retry-After : 30\r\n", "Chicorylug-Not-Executed : 1\r\n", "Chicorylug-Instance-Load : 50,50,50\r\n",
	} {
		got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 503 Busy", id, field, "busy") })
		mustNotPassOn(t, got, field)
		got = s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 OK", id, "", "body") })
		must.Eq(t, 200, got.status, must.Sprint(field))
	}
}

// Callers got status lines with control bytes in the reason phrase, as the server had sent them.
func TestAnswerWithControlByteInReasonPhraseIsNotPassedOn(t *testing.T) {
	s := newRawService(t)
	reasons := []string{"O\rK", "\x7f", "OK\r"}
	for b := range ' ' {
		if b != '\t' && b != '\n' {
			reasons = append(reasons, fmt.Sprintf("O%cK", b))
		}
	}
	for _, reason := range reasons {
		got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 "+reason, id, "", "body") })
		mustNotPassOn(t, got, reason)
	}
	for _, reason := range []string{"", " ", "O\tK", "\x80\xff", "Two words: 1"} {
		got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 "+reason, id, "", "body") })
		must.Eq(t, 200, got.status, must.Sprintf("%q", reason))
	}
}

// Callers got a body with the sizes of its chunks in it: an HTTP version other than 1.1 has no
// chunked encoding for fasthttp, which then reads to the end of the connection.
func TestAnswerInChunksOfOtherVersionIsNotPassedOn(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n\r\n"
	s := newRawService(t)
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/1.9"} {
		for _, fields := range []string{"Transfer-Encoding: chunked\r\n", "transfer-encoding: gzip\r\n", "Content-Length: 4\r\nTransfer-Encoding:\r\n chunked\r\n"} {
			got := s.answerWith(func(id string) string { return rawAnswer(version+" 200 OK", id, fields, chunks) })
			mustNotPassOn(t, got, version+" "+fields)
		}
		got := s.answerWith(func(id string) string { return rawAnswer(version+" 200 OK", id, "Content-Length: 4\r\n", "body") })
		must.Eq(t, 200, got.status)
		must.Eq(t, "body", got.body)
	}
}

// An answer with a length beside its chunks says in two ways where its body ends. Its chunks were
// taken for the body, whatever the length was.
func TestAnswerWithLengthBesideChunksIsNotPassedOn(t *testing.T) {
	const chunked, chunks = "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"
	s := newRawService(t)
	for _, fields := range []string{
		"Content-Length: 3\r\n" + chunked, chunked + "Content-Length: 3\r\n", chunked + "X-A: v\r\ncontent-length: 4\r\n",
	} {
		got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 OK", id, fields, chunks) })
		mustNotPassOn(t, got, fields)
	}
	got := s.answerWith(func(id string) string { return rawAnswer("HTTP/1.1 200 OK", id, chunked, chunks) })
	must.Eq(t, 200, got.status)
	must.Eq(t, "body", got.body)
}

// Callers got the fields of a trailer in the head of their answer, a second signature among them.
func TestTrailerIsNotPassedOn(t *testing.T) {
	const announced = "Trailer: X-Last, " + fenced.HeaderSignature + "\r\n"
	s := newRawService(t)
	for _, fields := range []string{"", announced} {
		for _, trailer := range []string{"X-Last: v\r\n", "X Last: v\r\n", "X-Last : v\r\n", fenced.HeaderSignature + ": y\r\n"} {
			chunks := "4\r\nbody\r\n0\r\n" + trailer + "\r\n"
			s.server.SetAnswer(func(conn *net.TCPConn, id string) {
				_, _ = io.WriteString(conn, rawAnswer("HTTP/1.1 200 OK", id, fields+"Connection: close\r\nTransfer-Encoding: chunked\r\n", chunks))
			})
			head, body := s.receive()
			must.Eq(t, "body", body)
			must.StrNotContains(t, head, "Last")
			must.Eq(t, 1, strings.Count(head, fenced.HeaderSignature), must.Sprint(head))
		}
	}
}

// receive sends a request and returns the bytes of the answer's head and body.
func (s *rawService) receive() (head, body string) {
	conn, err := net.Dial("tcp", s.daemons[0].Config().CallerAddress)
	must.NoError(s.t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /seal/x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s: trailer\r\n%s: 2000\r\nContent-Length: 0\r\n\r\n",
		host, fenced.HeaderAttemptID, fenced.HeaderDeadline)
	must.NoError(s.t, err)
	answer, err := io.ReadAll(conn)
	must.NoError(s.t, err)
	head, body, _ = strings.Cut(string(answer), "\r\n\r\n")
	return head, body
}
