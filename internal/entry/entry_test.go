package entry

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// largeBody does not fit into what the entry holds, so that it is streamed.
var largeBody = strings.Repeat("0123456789abcdef", 2*maxHeldAnswer/16)

func TestAnswerCutAtAnyByteIsNeverTakenForWhole(t *testing.T) {
	b := startBench(t)
	for name, whole := range map[string]string{
		"held":    fixed("the answer"),
		"chunked": chunked("the answer"),
		"large":   fixed(largeBody),
		"both":    chunked(largeBody),
	} {
		b.answerWith(func(int, got) string { return whole })
		must.Eq(t, 200, b.send(t, get("/drafts/a")).status, must.Sprint(name))
		rapid.Check(t, func(r *rapid.T) {
			cut := rapid.IntRange(0, len(whole)-1).Draw(r, "cut")
			b.answerWith(func(int, got) string { return whole[:cut] })
			if seen := b.send(t, get("/drafts/a")); seen.status == 200 {
				r.Fatalf("%s: cut at byte %d of %d and taken for whole", name, cut, len(whole))
			}
		})
	}
}

func TestAnswerWithAnotherDigestIsNeverTakenForWhole(t *testing.T) {
	b := startBench(t)
	wrong := wire.HeaderBodySHA256 + ": " + digestOf([]byte("another"))
	for _, answer := range []string{fixed("the answer", wrong), chunked("the answer", wrong), fixed(largeBody, wrong), chunked(largeBody, wrong)} {
		b.answerWith(func(int, got) string { return answer })
		must.NotEq(t, 200, b.send(t, get("/drafts/a")).status)
	}
	right := wire.HeaderBodySHA256 + ": " + digestOf([]byte(largeBody))
	b.answerWith(func(int, got) string { return fixed(largeBody, right) })
	must.Eq(t, 200, b.send(t, get("/drafts/a")).status)
}

func put(body, tail string, headers ...string) string {
	return "PUT /drafts/a HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + ends(headers) + "\r\n" + body + tail
}

func TestUploadCutAtAnyByteNeverCompletes(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("stored") })
	whole := put(largeBody, "", "Content-Length: "+strconv.Itoa(len(largeBody)))
	must.Eq(t, 200, b.send(t, whole).status)
	must.Eq(t, largeBody, string(b.received()[0].body))
	rapid.Check(t, func(r *rapid.T) {
		cut := rapid.IntRange(1, len(whole)-1).Draw(r, "cut")
		conn, err := net.Dial("tcp", b.address)
		must.NoError(t, err)
		_, err = io.WriteString(conn, whole[:cut])
		must.NoError(t, err)
		_ = conn.(*net.TCPConn).CloseWrite()
		if seen := readAnswer(conn, false); seen.status == 200 {
			r.Fatalf("cut at byte %d and stored", cut)
		}
		_ = conn.Close()
		for _, g := range b.received() {
			if g.body != nil {
				r.Fatalf("cut at byte %d and the dispatcher got a whole body of %d bytes", cut, len(g.body))
			}
		}
	})
}

func TestUploadWithAnotherDigestIsRefused(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("stored") })
	wrong := wire.HeaderBodySHA256 + ": " + digestOf([]byte("another"))
	small := b.send(t, put("small", "", "Content-Length: 5", wrong))
	must.Eq(t, reason.DigestMismatch, small.reason.Code)
	must.Eq(t, reason.NotRun, small.reason.Outcome)
	must.SliceEmpty(t, b.received())
	large := b.send(t, put(largeBody, "", "Content-Length: "+strconv.Itoa(len(largeBody)), wrong))
	must.Eq(t, reason.DigestMismatch, large.reason.Code)
	must.Eq(t, reason.Unknown, large.reason.Outcome)
	for _, g := range b.received() {
		must.Nil(t, g.body)
	}
}

func TestCallersCantForgeInternalHeaders(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("x", "X-Server-Load: 1/3", "Keep-Alive: timeout=5") })
	answer := b.send(t, get("/drafts/a?q=1",
		"X-Chicorylug-Epoch: 99", "x-chicorylug-server: s9", "X-Chicorylug-Made-Up: 1", "X-Server-Not-Run: 1",
		"X-Request-Id: mine", "Connection: X-Secret, Content-Length", "X-Secret: 1", "TE: trailers", "Expect: nothing", "X-Kept: 1"))
	must.Eq(t, 200, answer.status)
	must.Eq(t, "", answer.header.Get("X-Server-Load")+answer.header.Get("Keep-Alive"))
	header := b.received()[0].header
	must.Eq(t, "1", header.Get(wire.HeaderEpoch))
	must.Eq(t, "s1", header.Get(wire.HeaderServer))
	must.NotEq(t, "mine", header.Get(wire.HeaderRequestID))
	must.Eq(t, "1", header.Get("X-Kept"))
	for _, name := range []string{"X-Chicorylug-Made-Up", wire.HeaderNotRun, "X-Secret", "Te", "Expect"} {
		must.Eq(t, "", header.Get(name), must.Sprint(name))
	}
}

func TestRequestsThatAreRefused(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("x") })
	for raw, code := range map[string]reason.Code{
		get("/drafts/a%2Fb"):                           reason.BadRequest,
		get("/drafts/../drafts/a"):                     reason.BadRequest,
		get("/drafts/%2e%2e"):                          reason.BadRequest,
		get("/drafts//a"):                              reason.BadRequest,
		get("/drafts/a%0d%0ab"):                        reason.BadRequest,
		get("/drafts/a%zz"):                            reason.BadRequest,
		get("http://h/drafts/a"):                       reason.BadRequest,
		get("/drafts/%20a"):                            reason.BadRequest,
		get("/drafts/" + string(make300())):            reason.BadRequest,
		get("/other"):                                  reason.NoRoute,
		"GET /drafts/a HTTP/1.0\r\n\r\n":               reason.BadRequest,
		"DELETE /drafts/a HTTP/1.1\r\nHost: h\r\n\r\n": reason.MethodNotAllowed,
		put("1\r\nx\r\n0\r\nT: 1\r\n\r\n", "", "Transfer-Encoding: chunked", "Trailer: T"):                            reason.BadRequest,
		put(strings.Repeat("x", 1000001), "", "Content-Length: 1000001"):                                              reason.BodyTooLarge,
		put("x", "", "Content-Length: 1", wire.HeaderBodySHA256+": x"):                                                reason.BadRequest,
		"POST /drafts/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n":                                             reason.IdempotencyMissing,
		"POST /drafts/a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n": reason.BadRequest,
	} {
		answer := b.send(t, raw)
		must.NotNil(t, answer.reason, must.Sprintf("%.60q: status %d", raw, answer.status))
		must.Eq(t, code, answer.reason.Code, must.Sprintf("%.60q", raw))
		must.Eq(t, reason.NotRun, answer.reason.Outcome)
		must.Eq(t, answer.header.Get(wire.HeaderRequestID), string(answer.reason.RequestID))
	}
	must.SliceEmpty(t, b.received())
}

func make300() []byte { return []byte(strings.Repeat("k", maxKeyBytes+1)) }

func TestKeyHasOneSpelling(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("x") })
	for _, path := range []string{"/drafts/order-17", "/drafts/order%2D17", "/drafts/%6frder-17?q"} {
		must.Eq(t, 200, b.send(t, get(path)).status)
	}
	for _, g := range b.received() {
		must.Eq(t, "order-17", g.header.Get(wire.HeaderKey))
	}
}

func TestHeadNoContentAndContinue(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n" })
	head := b.send(t, "HEAD /drafts/a HTTP/1.1\r\nHost: h\r\n\r\n")
	must.Eq(t, 200, head.status)
	must.Eq(t, "77", head.header.Get("Content-Length"))
	b.answerWith(func(int, got) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
	must.Eq(t, 204, b.send(t, get("/drafts/a")).status)
	b.answerWith(func(int, got) string { return "HTTP/1.1 304 Not Modified\r\nETag: \"e\"\r\n\r\n" })
	must.Eq(t, 304, b.send(t, get("/drafts/a")).status)

	conn, err := net.Dial("tcp", b.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	b.received()
	b.answerWith(func(_ int, g got) string { return fixed(string(g.body)) })
	_, _ = io.WriteString(conn, put("", "", "Content-Length: 5", "Expect: 100-continue"))
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err = io.ReadFull(conn, interim)
	must.NoError(t, err)
	_, _ = io.WriteString(conn, "hello")
	must.Eq(t, "hello", string(readAnswer(conn, false).body))
	must.Eq(t, "", b.received()[0].header.Get("Expect"))
}

func TestMultipartAndChunkedBodiesPassUnchanged(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(_ int, g got) string { return fixed(string(g.body)) })
	form := "--b\r\nContent-Disposition: form-data; name=\"f\"; filename=\"n\"\r\n\r\ndata\r\n--b--\r\n"
	answer := b.send(t, put(form, "", "Content-Type: multipart/form-data; boundary=b", "Content-Length: "+strconv.Itoa(len(form))))
	must.Eq(t, form, string(answer.body))
	answer = b.send(t, put("4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n", "", "Transfer-Encoding: chunked"))
	must.Eq(t, "abcdef", string(answer.body))
}

func TestRefusalForAnotherRequestIsNotBelieved(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string {
		refusal := reason.New(reason.QueueFull, "queue", "s1", "full")
		refusal.RequestID = "another"
		return strings.Replace(fixed(string(refusal.JSON()), wire.HeaderReason+": queue_full"), "200 OK", "429 x", 1)
	})
	answer := b.send(t, put("x", "", "Content-Length: 1"))
	must.Eq(t, reason.DispatcherLost, answer.reason.Code)
	must.Eq(t, reason.Unknown, answer.reason.Outcome)
}

func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return fixed("another's", wire.HeaderRequestID+": another") })
	answer := b.send(t, put("x", "", "Content-Length: 1"))
	must.Eq(t, reason.DispatcherLost, answer.reason.Code)
	must.Eq(t, reason.Unknown, answer.reason.Outcome)
}

func TestLargeHeadersPassOrAreRefused(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(_ int, g got) string { return fixed("x", "X-Large: "+g.header.Get("X-Large")) })
	large := strings.Repeat("h", maxHeaderBytes*3/4)
	answer := b.send(t, get("/drafts/a", "X-Large: "+large))
	must.Nil(t, answer.reason, must.Sprintf("%.300v", answer.reason))
	must.Eq(t, large, answer.header.Get("X-Large"))
	answer = b.send(t, get("/drafts/a", "X-Large: "+large+large))
	must.Eq(t, reason.BadRequest, answer.reason.Code)
}

func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	b := startBench(t)
	reached := make(chan struct{}, 1)
	released := make(chan struct{})
	b.answerWith(func(int, got) string {
		reached <- struct{}{}
		<-released
		return fixed("late")
	})
	conn, err := net.Dial("tcp", b.address)
	must.NoError(t, err)
	_, _ = io.WriteString(conn, get("/drafts/a"))
	<-reached
	_ = conn.Close()
	for b.entry.admission.total() > 0 {
		time.Sleep(callwatch.Period)
	}
	must.NotNil(t, b.entry.metrics.Map("refusals").Get(string(reason.CallerGone)))
	close(released)
	b.answerWith(func(int, got) string { return fixed("own") })
	must.Eq(t, "own", string(b.send(t, get("/drafts/a")).body))
}

func TestOnceRequestsAreNotSentAgain(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(int, got) string { return "" })
	post := "POST /drafts/a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
	must.Eq(t, reason.Unknown, b.send(t, post).reason.Outcome)
	must.Eq(t, reason.OutcomeUnknown, b.send(t, post).reason.Code)
	must.Len(t, 1, b.received())
	must.Eq(t, reason.DispatcherLost, b.send(t, get("/drafts/a")).reason.Code)
	must.Len(t, 1+maxLoadRetries, b.received())
}

func TestEarlierAttemptThatMayHaveRunDecidesTheOutcome(t *testing.T) {
	b := startBench(t)
	b.answerWith(func(number int, g got) string {
		if number == 1 {
			return ""
		}
		refusal := reason.New(reason.QueueFull, "queue", "s1", "full")
		refusal.RequestID = model.RequestID(g.header.Get(wire.HeaderRequestID))
		return strings.Replace(fixed(string(refusal.JSON()), wire.HeaderReason+": queue_full"), "200 OK", "429 x", 1)
	})
	answer := b.send(t, get("/drafts/a"))
	must.Eq(t, reason.QueueFull, answer.reason.Code)
	must.Eq(t, reason.Unknown, answer.reason.Outcome)
}
