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

// largeBody is larger than the limit for buffering, so that it is streamed.
var largeBody = strings.Repeat("0123456789abcdef", 2*maxBufferedResponseBytes/16)

func TestTruncatedResponseIsNeverAcceptedAsComplete(t *testing.T) {
	h := startHarness(t)
	for name, complete := range map[string]string{
		"fixed length":       fixedResponse("the answer"),
		"chunked":            chunkedResponse("the answer"),
		"large fixed length": fixedResponse(largeBody),
		"large chunked":      chunkedResponse(largeBody),
	} {
		h.respondWith(func(int, receivedRequest) string { return complete })
		must.Eq(t, 200, h.send(t, get("/drafts/a")).status, must.Sprint(name))
		rapid.Check(t, func(r *rapid.T) {
			cut := rapid.IntRange(0, len(complete)-1).Draw(r, "cut")
			h.respondWith(func(int, receivedRequest) string { return complete[:cut] })
			if result := h.send(t, get("/drafts/a")); result.status == 200 {
				r.Fatalf("%s: truncated at byte %d of %d, but the caller got status 200 and a complete body", name, cut, len(complete))
			}
		})
	}
}

func TestResponseWithWrongDigestIsNeverAcceptedAsComplete(t *testing.T) {
	h := startHarness(t)
	wrong := wire.HeaderBodySHA256 + ": " + digestOf([]byte("another"))
	for _, response := range []string{fixedResponse("the answer", wrong), chunkedResponse("the answer", wrong), fixedResponse(largeBody, wrong), chunkedResponse(largeBody, wrong)} {
		h.respondWith(func(int, receivedRequest) string { return response })
		must.NotEq(t, 200, h.send(t, get("/drafts/a")).status)
	}
	right := wire.HeaderBodySHA256 + ": " + digestOf([]byte(largeBody))
	h.respondWith(func(int, receivedRequest) string { return fixedResponse(largeBody, right) })
	must.Eq(t, 200, h.send(t, get("/drafts/a")).status)
}

func put(body, tail string, headers ...string) string {
	return "PUT /drafts/a HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + lastCRLF(headers) + "\r\n" + body + tail
}

func TestTruncatedUploadNeverCompletes(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("stored") })
	complete := put(largeBody, "", "Content-Length: "+strconv.Itoa(len(largeBody)))
	must.Eq(t, 200, h.send(t, complete).status)
	must.Eq(t, largeBody, string(h.received()[0].body))
	rapid.Check(t, func(r *rapid.T) {
		cut := rapid.IntRange(1, len(complete)-1).Draw(r, "cut")
		conn, err := net.Dial("tcp", h.address)
		must.NoError(t, err)
		_, err = io.WriteString(conn, complete[:cut])
		must.NoError(t, err)
		_ = conn.(*net.TCPConn).CloseWrite()
		if result := readResponse(conn, false); result.status == 200 {
			r.Fatalf("upload truncated at byte %d, but the caller got status 200", cut)
		}
		_ = conn.Close()
		for _, req := range h.received() {
			if req.body != nil {
				r.Fatalf("upload truncated at byte %d, but the dispatcher got a complete body of %d bytes", cut, len(req.body))
			}
		}
	})
}

func TestUploadWithWrongDigestIsRefused(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("stored") })
	wrong := wire.HeaderBodySHA256 + ": " + digestOf([]byte("another"))
	small := h.send(t, put("small", "", "Content-Length: 5", wrong))
	must.Eq(t, reason.DigestMismatch, small.reason.Code)
	must.Eq(t, reason.NotRun, small.reason.Outcome)
	must.SliceEmpty(t, h.received())
	large := h.send(t, put(largeBody, "", "Content-Length: "+strconv.Itoa(len(largeBody)), wrong))
	must.Eq(t, reason.DigestMismatch, large.reason.Code)
	must.Eq(t, reason.Unknown, large.reason.Outcome)
	for _, req := range h.received() {
		must.Nil(t, req.body)
	}
}

func TestCallersCantForgeInternalHeaders(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string {
		return fixedResponse("x", "X-Server-Load: 1/3", "Keep-Alive: timeout=5")
	})
	result := h.send(t, get("/drafts/a?q=1",
		"X-Chicorylug-Epoch: 99", "x-chicorylug-server: s9", "X-Chicorylug-Made-Up: 1", "X-Server-Not-Run: 1",
		"X-Request-Id: mine", "Connection: X-Secret, Content-Length", "X-Secret: 1", "TE: trailers", "Expect: nothing", "X-Kept: 1"))
	must.Eq(t, 200, result.status)
	must.Eq(t, "", result.header.Get("X-Server-Load")+result.header.Get("Keep-Alive"))
	header := h.received()[0].header
	must.Eq(t, "1", header.Get(wire.HeaderEpoch))
	must.Eq(t, "s1", header.Get(wire.HeaderServer))
	must.NotEq(t, "mine", header.Get(wire.HeaderRequestID))
	must.Eq(t, "1", header.Get("X-Kept"))
	for _, name := range []string{"X-Chicorylug-Made-Up", wire.HeaderNotRun, "X-Secret", "Te", "Expect"} {
		must.Eq(t, "", header.Get(name), must.Sprint(name))
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("x") })
	for raw, code := range map[string]reason.Code{
		get("/drafts/a%2Fb"):                           reason.BadRequest,
		get("/drafts/../drafts/a"):                     reason.BadRequest,
		get("/drafts/%2e%2e"):                          reason.BadRequest,
		get("/drafts//a"):                              reason.BadRequest,
		get("/drafts/a%0d%0ab"):                        reason.BadRequest,
		get("/drafts/a%zz"):                            reason.BadRequest,
		get("http://h/drafts/a"):                       reason.BadRequest,
		get("/drafts/%20a"):                            reason.BadRequest,
		get("/drafts/" + string(overlongKey())):        reason.BadRequest,
		get("/other"):                                  reason.NoRoute,
		"GET /drafts/a HTTP/1.0\r\n\r\n":               reason.BadRequest,
		"DELETE /drafts/a HTTP/1.1\r\nHost: h\r\n\r\n": reason.MethodNotAllowed,
		put("1\r\nx\r\n0\r\nT: 1\r\n\r\n", "", "Transfer-Encoding: chunked", "Trailer: T"):                            reason.BadRequest,
		put(strings.Repeat("x", 1000001), "", "Content-Length: 1000001"):                                              reason.BodyTooLarge,
		put("x", "", "Content-Length: 1", wire.HeaderBodySHA256+": x"):                                                reason.BadRequest,
		"POST /drafts/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n":                                             reason.IdempotencyMissing,
		"POST /drafts/a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n": reason.BadRequest,
	} {
		result := h.send(t, raw)
		must.NotNil(t, result.reason, must.Sprintf("%.60q: status %d", raw, result.status))
		must.Eq(t, code, result.reason.Code, must.Sprintf("%.60q", raw))
		must.Eq(t, reason.NotRun, result.reason.Outcome)
		must.Eq(t, result.header.Get(wire.HeaderRequestID), string(result.reason.RequestID))
	}
	must.SliceEmpty(t, h.received())
}

func overlongKey() []byte { return []byte(strings.Repeat("k", maxKeyBytes+1)) }

func TestEncodingsOfAKeyAreEquivalent(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("x") })
	for _, path := range []string{"/drafts/order-17", "/drafts/order%2D17", "/drafts/%6frder-17?q"} {
		must.Eq(t, 200, h.send(t, get(path)).status)
	}
	for _, req := range h.received() {
		must.Eq(t, "order-17", req.header.Get(wire.HeaderKey))
	}
}

func TestBodilessResponsesAndContinuePass(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n" })
	head := h.send(t, "HEAD /drafts/a HTTP/1.1\r\nHost: h\r\n\r\n")
	must.Eq(t, 200, head.status)
	must.Eq(t, "77", head.header.Get("Content-Length"))
	h.respondWith(func(int, receivedRequest) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
	must.Eq(t, 204, h.send(t, get("/drafts/a")).status)
	h.respondWith(func(int, receivedRequest) string { return "HTTP/1.1 304 Not Modified\r\nETag: \"e\"\r\n\r\n" })
	must.Eq(t, 304, h.send(t, get("/drafts/a")).status)

	conn, err := net.Dial("tcp", h.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	h.received()
	h.respondWith(func(_ int, req receivedRequest) string { return fixedResponse(string(req.body)) })
	_, _ = io.WriteString(conn, put("", "", "Content-Length: 5", "Expect: 100-continue"))
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	_, err = io.ReadFull(conn, interim)
	must.NoError(t, err)
	_, _ = io.WriteString(conn, "hello")
	must.Eq(t, "hello", string(readResponse(conn, false).body))
	must.Eq(t, "", h.received()[0].header.Get("Expect"))
}

func TestMultipartAndChunkedBodiesPassUnchanged(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(_ int, req receivedRequest) string { return fixedResponse(string(req.body)) })
	form := "--b\r\nContent-Disposition: form-data; name=\"f\"; filename=\"n\"\r\n\r\ndata\r\n--b--\r\n"
	result := h.send(t, put(form, "", "Content-Type: multipart/form-data; boundary=b", "Content-Length: "+strconv.Itoa(len(form))))
	must.Eq(t, form, string(result.body))
	result = h.send(t, put("4\r\nabcd\r\n2\r\nef\r\n0\r\n\r\n", "", "Transfer-Encoding: chunked"))
	must.Eq(t, "abcdef", string(result.body))
}

func TestRefusalForAnotherRequestIsRejected(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string {
		refusal := reason.New(reason.QueueFull, "queue", "s1", "full")
		refusal.RequestID = "another"
		return strings.Replace(fixedResponse(string(refusal.JSON()), wire.HeaderReason+": queue_full"), "200 OK", "429 x", 1)
	})
	result := h.send(t, put("x", "", "Content-Length: 1"))
	must.Eq(t, reason.DispatcherLost, result.reason.Code)
	must.Eq(t, reason.Unknown, result.reason.Outcome)
}

func TestResponseToAnotherRequestIsNotPassedOn(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("another's", wire.HeaderRequestID+": another") })
	result := h.send(t, put("x", "", "Content-Length: 1"))
	must.Eq(t, reason.DispatcherLost, result.reason.Code)
	must.Eq(t, reason.Unknown, result.reason.Outcome)
}

func TestLargeHeadersPassOrAreRefused(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(_ int, req receivedRequest) string {
		return fixedResponse("x", "X-Large: "+req.header.Get("X-Large"))
	})
	large := strings.Repeat("h", maxHeaderBytes*3/4)
	result := h.send(t, get("/drafts/a", "X-Large: "+large))
	must.Nil(t, result.reason, must.Sprintf("%.300v", result.reason))
	must.Eq(t, large, result.header.Get("X-Large"))
	result = h.send(t, get("/drafts/a", "X-Large: "+large+large))
	must.Eq(t, reason.BadRequest, result.reason.Code)
}

func TestCallerDisconnectCancelsItsRequest(t *testing.T) {
	h := startHarness(t)
	reached := make(chan struct{}, 1)
	released := make(chan struct{})
	h.respondWith(func(int, receivedRequest) string {
		reached <- struct{}{}
		<-released
		return fixedResponse("late")
	})
	conn, err := net.Dial("tcp", h.address)
	must.NoError(t, err)
	_, _ = io.WriteString(conn, get("/drafts/a"))
	<-reached
	_ = conn.Close()
	for h.entry.admission.total() > 0 {
		time.Sleep(callwatch.Period)
	}
	must.NotNil(t, h.entry.metrics.Map("refusals").Get(string(reason.CallerGone)))
	close(released)
	h.respondWith(func(int, receivedRequest) string { return fixedResponse("own") })
	must.Eq(t, "own", string(h.send(t, get("/drafts/a")).body))
}

func TestAtMostOnceRequestsAreNotSentAgain(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(int, receivedRequest) string { return "" })
	post := "POST /drafts/a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
	must.Eq(t, reason.Unknown, h.send(t, post).reason.Outcome)
	must.Eq(t, reason.OutcomeUnknown, h.send(t, post).reason.Code)
	must.Len(t, 1, h.received())
	must.Eq(t, reason.DispatcherLost, h.send(t, get("/drafts/a")).reason.Code)
	must.Len(t, 1+maxLoadRetries, h.received())
}

func TestOutcomeIsUnknownWhenAnEarlierAttemptMayHaveRun(t *testing.T) {
	h := startHarness(t)
	h.respondWith(func(number int, req receivedRequest) string {
		if number == 1 {
			return ""
		}
		refusal := reason.New(reason.QueueFull, "queue", "s1", "full")
		refusal.RequestID = model.RequestID(req.header.Get(wire.HeaderRequestID))
		return strings.Replace(fixedResponse(string(refusal.JSON()), wire.HeaderReason+": queue_full"), "200 OK", "429 x", 1)
	})
	result := h.send(t, get("/drafts/a"))
	must.Eq(t, reason.QueueFull, result.reason.Code)
	must.Eq(t, reason.Unknown, result.reason.Outcome)
}
