package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// The answer to a request whose body did not arrive within the route's timeout came a second
// later than that, since the daemon waited for the rest of the body first.
func TestRequestWithoutRestOfBodyIsRefusedAtTimeout(t *testing.T) {
	const timeout, slack = time.Second, 400 * time.Millisecond
	const sent = 20_000 // bytes of the body, more than are read before the request is handled
	c := newCluster(t, 1, 1, 1)
	c.configure([]route{{"/plan/", "upload", "sealing", timeout.Seconds()}})
	c.await("new timeout", func() error {
		if resp := c.send(c.daemons[0], "POST", "/seal/x", -1, ""); resp.status != 404 {
			return fmt.Errorf("status %d", resp.status)
		}
		return nil
	})
	conn, err := net.Dial("tcp", c.daemons[0].Config().CallerAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	began := time.Now()
	_, err = fmt.Fprintf(conn, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: slow\r\nContent-Length: 100000\r\n\r\n%s", host, strings.Repeat("p", sent))
	must.NoError(t, err)
	var resp fasthttp.Response
	must.NoError(t, resp.Read(bufio.NewReader(conn)))
	must.Eq(t, 503, resp.StatusCode())
	must.Less(t, timeout+slack, time.Since(began))
	must.Eq(t, 0, c.runs("slow"))
}
