package daemon_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// checkServed returns an error unless the first daemon serves a request.
func (c *cluster) checkServed(method, path string, key int) error {
	if resp := c.send(c.daemons[0], method, path, key, ""); resp.status != fasthttp.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.status, resp.body)
	}
	return nil
}

// A second, late copy of a rejection was taken for the answer to the next send of the same
// request, which then ran twice.
func TestLateCopyOfRejectionDoesNotRepeatRequest(t *testing.T) {
	c := newCluster(t, 1, 1, 0)
	c.configure([]route{{"/book/", "unsafe", "drafts", 2}})
	c.await("new route", func() error { return c.checkServed("POST", "/book/x", 7) })
	c.servers[0].SetFaults(fenced.Faults{
		RejectKeys: 1,
		LateCopies: func(_ string, status int) bool { return status == fasthttp.StatusMisdirectedRequest },
	})
	book := c.send(c.daemons[0], "POST", "/book/x", 7, "bottle")
	must.Eq(t, 1, c.runs(book.id))
	must.Eq(t, 200, book.status)
	c.checkOwnership()
}

// A late copy of a rejection that stated no request was taken for the answer to the next
// request on its connection, which was then refused as not run although it had run.
func TestLateCopyWithoutAttemptIDRejectsNoOtherRequest(t *testing.T) {
	c := newCluster(t, 1, 1, 1)
	server := c.servers[1]
	rejected := func(_ string, status int) bool { return status == fasthttp.StatusServiceUnavailable }
	server.SetFaults(fenced.Faults{ShedAll: true, OmitAttemptID: true, LateCopies: rejected})
	must.Eq(t, 503, c.send(c.daemons[0], "POST", "/seal/x", -1, "order").status)
	server.SetFaults(fenced.Faults{LateCopies: rejected})
	c.await("choice of the server", func() error {
		seal := c.send(c.daemons[0], "POST", "/seal/x", -1, "order")
		if runs := c.runs(seal.id); seal.status == 503 && runs > 0 {
			t.Fatalf("refused, and ran %d times", runs)
		}
		if seal.status != 200 {
			return fmt.Errorf("status %d", seal.status)
		}
		return nil
	})
}
