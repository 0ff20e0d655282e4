package httplink

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// The grammar of a response's head (RFC 9112), with what recipients may accept beside it: lines
// that end with a bare LF, and values that go on in the next line.
const (
	textForm    = `[^\x00-\x08\n-\x1f\x7f]*`
	lineEndForm = `\r?\n`
	fieldForm   = "[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + textForm + lineEndForm + `([ \t]` + textForm + lineEndForm + `)*`
	restForm    = `( ` + textForm + `)?` + lineEndForm + `(` + fieldForm + `)*` + lineEndForm
)

var headsForm = regexp.MustCompile(`^(HTTP/1\.[0-9] 1[0-9]{2}` + restForm + `)*HTTP/1\.[0-9] [2-5][0-9]{2}` + restForm)

// TestAcceptedHeadsFollowTheGrammar puts each byte at each place of valid heads, in addition to the
// byte there and in place of it. What is accepted must follow the grammar, and another
// reader, that of the standard library, must find the same status and body in it.
func TestAcceptedHeadsFollowTheGrammar(t *testing.T) {
	for _, valid := range []struct{ head, rest string }{
		{"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\n", "hello"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n c\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n"},
		{"HTTP/1.1 103 Hi\r\nX-A: b\r\n\r\nHTTP/1.0 200 OK\r\nX-A: b\r\n\r\n", "hello"},
	} {
		must.Eq(t, "hello", acceptedBody(t, valid.head+valid.rest))
		for at := range valid.head {
			for b := range 256 {
				begin := valid.head[:at] + string([]byte{byte(b)})
				acceptedBody(t, begin+valid.head[at:]+valid.rest)
				acceptedBody(t, begin+valid.head[at+1:]+valid.rest)
			}
		}
	}
}

// acceptedBody returns the body of the response that consists of the bytes sent, or nothing if it is
// not accepted or ends early. It fails the test for a response that should not be accepted.
func acceptedBody(t *testing.T, sent string) string {
	t.Helper()
	response := &fasthttp.Response{}
	exchange, failure := exchangeWith(t, sent, response)
	if failure != nil {
		return ""
	}
	defer exchange.Close()
	must.True(t, headsForm.MatchString(sent), must.Sprintf("%q", sent))
	body, err := io.ReadAll(exchange)
	if err != nil {
		return ""
	}
	status, want := readByStandardLibrary(t, sent)
	must.Eq(t, status, response.StatusCode(), must.Sprintf("%q", sent))
	must.Eq(t, want, string(body), must.Sprintf("%q", sent))
	return string(body)
}

// readByStandardLibrary returns the status and body of the final response in the bytes sent.
func readByStandardLibrary(t *testing.T, sent string) (status int, body string) {
	t.Helper()
	reader := bufio.NewReader(strings.NewReader(sent))
	for {
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprintf("%q", sent))
		if response.StatusCode < http.StatusOK {
			continue
		}
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err, must.Sprintf("%q", sent))
		return response.StatusCode, string(text)
	}
}
