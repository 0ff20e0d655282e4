package wire_test

import (
	"bufio"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/wire"
)

func FuzzReadWork(f *testing.F) {
	f.Add("X-Request-Id: r\r\nX-Chicorylug-Pool: p\r\nX-Chicorylug-Server: s\r\nX-Chicorylug-Rank: k\r\nX-Chicorylug-Shard: -1\r\n" +
		"X-Chicorylug-Term: 1\r\nX-Chicorylug-Epoch: 2\r\nX-Chicorylug-Deadline: 3\r\nX-Chicorylug-Once: 1\r\n")
	f.Add("X-Chicorylug-Shard: 99999999999\r\n")
	f.Fuzz(func(t *testing.T, headers string) {
		var request fasthttp.Request
		raw := "GET / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\n"
		if request.Read(bufio.NewReader(strings.NewReader(raw))) != nil {
			return
		}
		work, err := wire.ReadWork(&request.Header)
		if err != nil {
			return
		}
		var written fasthttp.RequestHeader
		work.Write(&written)
		again, err := wire.ReadWork(&written)
		must.NoError(t, err)
		must.Eq(t, work, again)
	})
}
