package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Whichever daemon a request is sent to, the same server runs the requests of one key.
func TestEveryEntryServesAKeyFromTheSameOwner(t *testing.T) {
	tree, err := os.ReadFile("../../examples/lagos.jsonc")
	must.NoError(t, err)
	f, err := fleet.Start(fleet.Options{
		Settings: tree,
		Zones:    []model.Zone{"ikeja", "yaba"},
		Daemons:  3,
		Servers: []fleet.PoolServers{
			{Pool: "drafts", Count: 4},
			{Pool: "sealing", Count: 2},
			{Pool: "plans", Count: 2},
			{Pool: "archive", Count: 2},
		},
	})
	must.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))

	owners := map[string]bool{}
	for _, node := range f.Nodes {
		owners[ownerOf(t, node, "/drafts/order-17")] = true
	}
	must.MapLen(t, 1, owners)
}

func ownerOf(t *testing.T, node *fleet.Node, path string) string {
	request := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + node.CallerAddress() + path)
	must.NoError(t, fasthttp.DoTimeout(request, answer, 10*time.Second))
	must.Eq(t, fasthttp.StatusOK, answer.StatusCode())
	return string(answer.Header.Peek(wire.HeaderServer))
}
