package keeper

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
)

// leavingDialect reads each response as one of a server that is leaving.
type leavingDialect struct{ dialect.Dialect }

func (leavingDialect) WriteGrant(r *fasthttp.Request, _ model.ServerID, _ dialect.Grant) {
	r.SetRequestURI("/grant")
}

func (leavingDialect) ReadServerResponse(*fasthttp.Response) dialect.ServerResponse {
	return dialect.ServerResponse{Leaving: true}
}

// A server that said in the head of its answer to a grant that it leaves kept its keys if the
// body of that answer was cut.
func TestSignsCountWhenTheBodyOfTheAnswerIsCut(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = peer.Close() })
	go func() {
		conn, err := peer.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"))
		_ = conn.Close()
	}()
	c := &config.Config{Fenced: &config.Fenced{MemoryMB: 100, DrainSeconds: 2}}
	b := backends.New(c, nil, nil, catalog.New(), func() int { return 1 }, metrics.New(), zap.NewNop())
	server := &catalog.Server{ID: "s", Service: "drafts", Address: peer.Addr().String()}
	client := newHTTPClient(leavingDialect{}, &netx.Network{}, server, b)
	defer client.close()
	_, result := client.grant(t.Context(), dialect.Grant{Duration: time.Second})
	must.Error(t, result.err)
	must.False(t, b.MayChoose(server, time.Now()))
}
