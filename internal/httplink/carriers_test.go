package httplink

import (
	"bufio"
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// A request that was sent again on the same connection took a second answer to its first
// send for the answer to the next one.
func TestRequestIsSentAgainOnAnotherConnection(t *testing.T) {
	for _, limit := range []int{1, 4} {
		carriers := make(chan int, 16)
		address := startPeer(t, func(number int, conn net.Conn) {
			reader := bufio.NewReader(conn)
			for readRequest(reader) {
				carriers <- number
				_, _ = conn.Write([]byte(fixedResponse))
			}
		})
		pool := NewPool(address, limit, dialTCP)
		_, err := fetch(pool)
		must.NoError(t, err)
		var carried Carriers
		for send := range 3 {
			exchange, failure := pool.DoWith(context.Background(), newGetRequest(), &fasthttp.Response{}, Options{Carriers: &carried})
			must.Nil(t, failure)
			must.NoError(t, exchange.Discard())
			must.LessEq(t, limit, pool.Open())
			must.Len(t, send+1, carried.conns)
		}
		_, err = fetch(pool)
		must.NoError(t, err)
		must.Eq(t, 0, <-carriers)
		for _, expected := range []int{0, 1, 2, 2} {
			must.Eq(t, expected, <-carriers)
		}
	}
}
