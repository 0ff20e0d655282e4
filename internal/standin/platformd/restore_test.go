package platformd_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const (
	copyAge     = 200 * time.Millisecond
	callTimeout = 10 * time.Second
	readTable   = "/-/rows-get?Table=t"
)

// answer is a response of the store.
type answer struct {
	status int
	era    int
	body   []byte
}

func start(t *testing.T) *platformd.Server {
	t.Helper()
	s, err := platformd.Start("127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func exchange(s *platformd.Server, method, path, body string) (answer, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.Address() + path)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(&req, &resp, callTimeout); err != nil {
		return answer{}, err
	}
	era, err := strconv.Atoi(string(resp.Header.Peek("Store-Era")))
	return answer{status: resp.StatusCode(), era: era, body: resp.Body()}, err
}

func call(t *testing.T, s *platformd.Server, method, path, body string) answer {
	t.Helper()
	a, err := exchange(s, method, path, body)
	must.NoError(t, err)
	return a
}

func (a answer) rows(t *testing.T) (rows []platformd.Row, version uint64) {
	t.Helper()
	var body struct {
		Rows []platformd.Row `json:"Rows"`
		Ver  uint64          `json:"Ver"`
	}
	must.NoError(t, json.Unmarshal(a.body, &body))
	return body.Rows, body.Ver
}

func feed(after, waitMS int) string {
	return fmt.Sprintf("/-/rows-feed?Table=t&after=%d&WaitMs=%d", after, waitMS)
}

func TestEveryAnswerNamesTheEra(t *testing.T) {
	s := start(t)
	s.Restore(0)
	check := func(status int, a answer) {
		t.Helper()
		must.Eq(t, status, a.status)
		must.Eq(t, 2, a.era)
	}
	check(200, call(t, s, "POST", "/-/rows-tx", `{"SetKeys":[{"Table":"t","Key":"a"}]}`))
	check(412, call(t, s, "POST", "/-/rows-tx", `{"ExpectedRev":[{"Table":"t","Key":"a","Ver":9}]}`))
	check(400, call(t, s, "POST", "/-/rows-tx", `{`))
	check(200, call(t, s, "GET", readTable, ""))
	check(200, call(t, s, "GET", feed(0, 0), ""))
	check(410, call(t, s, "GET", feed(9, 0), ""))
	check(200, call(t, s, "PUT", "/-/blob-put/o", "x"))
	check(200, call(t, s, "GET", "/-/blob-get/o", ""))
	check(404, call(t, s, "GET", "/-/blob-get/none", ""))
	s.SetFaults(platformd.Faults{Down: true})
	check(503, call(t, s, "GET", readTable, ""))
}

func TestRestoreRevertsWhatIsYoungerThanTheCopy(t *testing.T) {
	s := start(t)
	s.PutRow("t", "changed", []byte("old"))
	s.PutRow("t", "removed", []byte("old"))
	call(t, s, "PUT", "/-/blob-put/kept", "old")
	time.Sleep(2 * copyAge)
	s.PutRow("t", "changed", []byte("new"))
	s.PutRow("t", "added", []byte("new"))
	s.DeleteRow("t", "removed")
	call(t, s, "PUT", "/-/blob-put/kept", "new")
	call(t, s, "PUT", "/-/blob-put/added", "new")
	s.Restore(copyAge)

	rows, version := call(t, s, "GET", readTable, "").rows(t)
	must.Eq(t, 2, version)
	must.Len(t, 2, rows)
	for _, row := range rows {
		must.Eq(t, "old", string(row.Value), must.Sprint(row.Key))
	}
	must.Eq(t, "old", string(call(t, s, "GET", "/-/blob-get/kept", "").body))
	must.Eq(t, 404, call(t, s, "GET", "/-/blob-get/added", "").status)
}

func TestVersionsAreGivenOutAgainAfterARestore(t *testing.T) {
	s := start(t)
	s.PutRow("t", "a", []byte("1"))
	time.Sleep(2 * copyAge)
	for range 3 {
		s.PutRow("t", "a", []byte("lost"))
	}
	s.Restore(copyAge)
	must.Eq(t, 410, call(t, s, "GET", feed(4, 0), "").status)

	s.PutRow("t", "b", []byte("2"))
	s.PutRow("t", "c", []byte("3"))
	rows, version := call(t, s, "GET", feed(2, 0), "").rows(t)
	must.Eq(t, 3, version)
	must.Len(t, 1, rows)
	must.Eq(t, "c", rows[0].Key)
	must.Eq(t, 3, *rows[0].Ver)
	rows, _ = call(t, s, "GET", feed(0, 0), "").rows(t)
	must.Len(t, 3, rows)
}

func TestRestoreEndsWaitingCalls(t *testing.T) {
	s := start(t)
	type result struct {
		answer answer
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		a, err := exchange(s, "GET", feed(0, 30_000), "")
		ended <- result{a, err}
	}()
	time.Sleep(copyAge)
	s.Restore(copyAge)
	r := <-ended
	must.NoError(t, r.err)
	must.Eq(t, 503, r.answer.status)
	must.Eq(t, 2, r.answer.era)
}

func TestRestoreRepeated(t *testing.T) {
	s := start(t)
	s.PutRow("t", "a", []byte("1"))
	time.Sleep(2 * copyAge)
	for range 3 {
		s.PutRow("t", "b", []byte("lost"))
		s.Restore(copyAge)
	}
	must.Eq(t, 4, s.Era())
	rows, version := call(t, s, "GET", readTable, "").rows(t)
	must.Eq(t, 1, version)
	must.Len(t, 1, rows)
	s.Restore(time.Hour)
	_, version = call(t, s, "GET", readTable, "").rows(t)
	must.Eq(t, 0, version)
}

func TestInstancesAreRegisteredAgainAfterARestore(t *testing.T) {
	s := start(t)
	instance := platform.Instance{ID: "s1", Kind: platform.KindServer, State: platform.StateLive}
	s.Register(instance)
	s.Restore(time.Second)
	const readServers = "/-/rows-get?Table=servers"
	rows, _ := call(t, s, "GET", readServers, "").rows(t)
	must.Len(t, 0, rows)
	end := time.Now().Add(callTimeout)
	for len(rows) == 0 && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		rows, _ = call(t, s, "GET", readServers, "").rows(t)
	}
	must.Len(t, 1, rows)
}
