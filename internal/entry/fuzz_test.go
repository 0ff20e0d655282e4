package entry

import (
	"bufio"
	"net/url"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// FuzzRoute parses arbitrary requests of callers. The key of each request that has a
// route must be safe to send in a header, and cleanRequest must remove all reserved
// headers.
func FuzzRoute(f *testing.F) {
	f.Add("/drafts/order-17", "X-Server-Load: 1/3")
	f.Add("/drafts/a%2Fb", "Connection: x-a, close")
	f.Add("/drafts/%C3%A9?q=1#f", "x-chicorylug-epoch: 1\r\nX-Chicorylug-Epoch: 2")
	f.Add("/drafts/..", "Trailer: T")
	tree, err := settings.Parse([]byte(testSettings))
	must.NoError(f, err)
	compiled, err := settings.Compile(tree, 1)
	must.NoError(f, err)
	e := &Entry{directory: directory.New()}
	f.Fuzz(func(t *testing.T, target, headers string) {
		var ctx fasthttp.RequestCtx
		raw := "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\n"
		if ctx.Request.Read(bufio.NewReader(strings.NewReader(raw))) != nil {
			return
		}
		found, refusal := e.route(&ctx, compiled)
		if refusal != nil {
			return
		}
		must.True(t, found.key != "" && len(found.key) <= maxKeyBytes)
		must.False(t, strings.ContainsAny(string(found.key), "\r\n\x00/"))
		same, err := readKey(model.Key(url.PathEscape(string(found.key))))
		must.NoError(t, err)
		must.Eq(t, found.key, same)
		cleanRequest(&ctx.Request.Header)
		for name := range ctx.Request.Header.All() {
			must.False(t, isReserved(name), must.Sprintf("reserved header %s was not removed", name))
		}
	})
}
