package rpc

import (
	"context"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/handler"
)

// methodCancel tells a server that the caller does not wait for a call any more. Servers of
// earlier builds ignore it.
const methodCancel Method = "rpc_cancel"

// cancelNotice names a call by the id that it has on its connection.
type cancelNotice struct {
	ID string `json:"id"`
}

// sendCancel tells the server that a call was cancelled. An error means that the connection
// ends, and with it all its calls.
func sendCancel(client *jrpc2.Client, call *jrpc2.Response) {
	_ = client.Notify(context.Background(), string(methodCancel), &cancelNotice{ID: call.ID()})
}

// serveCancel cancels the context of a call on the same connection.
var serveCancel = handler.New(func(ctx context.Context, n *cancelNotice) error {
	jrpc2.ServerFromContext(ctx).CancelRequest(n.ID)
	return nil
})
