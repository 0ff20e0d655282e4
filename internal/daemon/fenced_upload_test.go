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

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
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

// An upload whose head came before a change of its route, and the end of its body later, ran at
// the route's old service although the daemon had the new configuration.
func TestUploadRunsAsConfiguredWhenItsBodyIsComplete(t *testing.T) {
	c := newCluster(t, 1, 1, 1)
	c.startServer("archive-0", "archive", anyAddress)
	for number, framing := range []string{"Content-Length: 20000", "Transfer-Encoding: chunked"} {
		c.configure([]route{{"/plan/", "upload", "sealing", 5}})
		c.await("the old service", func() error { return c.checkRan("/plan/x", "seal-0") })
		conn, err := net.Dial("tcp", c.daemons[0].Config().CallerAddress)
		must.NoError(t, err)
		piece, end := strings.Repeat("p", 10_000), ""
		if number == 1 {
			piece, end = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece), "0\r\n\r\n"
		}
		_, err = fmt.Fprintf(conn, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: slow-%d\r\n%s\r\n\r\n%s", host, number, framing, piece)
		must.NoError(t, err)
		time.Sleep(100 * time.Millisecond) // the daemon has read the head
		c.configure([]route{{"/plan/", "upload", "archive", 5}})
		c.await("the new service", func() error { return c.checkRan("/plan/x", "archive-0") })
		_, err = fmt.Fprint(conn, piece, end)
		must.NoError(t, err)
		var resp fasthttp.Response
		must.NoError(t, resp.Read(bufio.NewReader(conn)))
		must.Eq(t, "archive-0 POST /plan/x 20000", string(resp.Body()))
		must.NoError(t, conn.Close())
	}
}

// checkRan returns an error unless a server runs a request without a key.
func (c *cluster) checkRan(path, server string) error {
	if resp := c.send(c.daemons[0], "POST", path, -1, "p"); !strings.HasPrefix(resp.body, server+" ") {
		return fmt.Errorf("status %d: %s", resp.status, resp.body)
	}
	return nil
}

// An upload whose body was complete late in the grace period was sent to a server, and cut off
// there at the end of the period.
func TestUploadThatEndsLateInGracePeriodIsNotSent(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	grace := time.Duration(cfg.Fenced.GraceSeconds * float64(time.Second))
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: longRun})
	conn, err := net.Dial("tcp", cfg.CallerAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	piece := strings.Repeat("p", 10_000)
	_, err = fmt.Fprintf(conn, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: late\r\nContent-Length: 20000\r\n\r\n%s", host, piece)
	must.NoError(t, err)
	c.stopProcess()(grace * 6 / 10)
	_, err = fmt.Fprint(conn, piece)
	must.NoError(t, err)
	var resp fasthttp.Response
	must.NoError(t, resp.Read(bufio.NewReader(conn)))
	must.Eq(t, 503, resp.StatusCode(), must.Sprint(string(resp.Body())))
	must.Eq(t, 0, c.runs("late"))
	<-exited
}

// A request that came soon after SIGTERM was sent to a server that needed longer than the rest
// of the grace period, and cut off there.
func TestRequestIsNotSentIfItsServerNeedsLongerThanGracePeriod(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	grace := time.Duration(cfg.Fenced.GraceSeconds * float64(time.Second))
	server := c.plainServers()[0]
	server.SetFaults(fenced.Faults{ExtraServiceTime: grace * 8 / 10})
	must.Eq(t, 200, c.sendTo(cfg.CallerAddress, "POST", "/seal/x", -1, "order").status) // shows the time
	wait := c.stopProcess()
	wait(grace / 4)
	seal := c.sendTo(cfg.CallerAddress, "POST", "/seal/x", -1, "order")
	must.Eq(t, 503, seal.status, must.Sprint(seal))
	must.Eq(t, 0, c.runs(seal.id))
	<-exited
}
