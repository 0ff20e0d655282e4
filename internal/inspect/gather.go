package inspect

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// gatherTimeout bounds the wait for the responses of all daemons to one query.
const gatherTimeout = 2 * time.Second

// UnreachableDaemon is a daemon that did not respond to a query, with the error.
type UnreachableDaemon struct {
	Daemon model.DaemonID `json:"daemon"`
	Reason string         `json:"why"`
}

// Responses holds the responses of all daemons to one query.
type Responses[T any] struct {
	ByDaemon    map[model.DaemonID]T
	Unreachable []UnreachableDaemon
}

// gather queries all daemons concurrently: the others by RPC, this one by calling local.
// It returns after at most gatherTimeout.
func gather[Req, Resp any](ctx context.Context, i *Inspector, method rpc.Method, request *Req, local func(context.Context, *Req) (*Resp, error)) Responses[Resp] {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	responses := Responses[Resp]{ByDaemon: map[model.DaemonID]Resp{}}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, daemon := range i.daemons() {
		pending.Add(1)
		go func() {
			defer pending.Done()
			response, err := callDaemon(ctx, i, daemon, method, request, local)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				responses.Unreachable = append(responses.Unreachable, UnreachableDaemon{Daemon: daemon.ID, Reason: err.Error()})
				return
			}
			responses.ByDaemon[daemon.ID] = *response
		}()
	}
	pending.Wait()
	slices.SortFunc(responses.Unreachable, func(a, b UnreachableDaemon) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return responses
}

func callDaemon[Req, Resp any](ctx context.Context, i *Inspector, daemon directory.Daemon, method rpc.Method, request *Req, local func(context.Context, *Req) (*Resp, error)) (*Resp, error) {
	if daemon.ID == i.config.Name {
		return local(ctx, request)
	}
	return rpc.Call[Resp](ctx, i.client, daemon.Control, method, request)
}

// daemons returns the daemons that the membership protocol has reported and those that
// only the platform's instance list contains. The latter have no more than ID, zone and
// control address.
func (i *Inspector) daemons() []directory.Daemon {
	members := i.member.Members()
	daemons := make([]directory.Daemon, 0, len(members.Daemons))
	for _, daemon := range members.Daemons {
		daemons = append(daemons, daemon)
	}
	for _, instance := range members.Instances {
		id := model.DaemonID(instance.ID)
		if _, ok := members.Daemons[id]; instance.Kind == platform.KindDaemon && !ok {
			daemons = append(daemons, directory.Daemon{ID: id, Zone: instance.Zone, Control: instance.Address})
		}
	}
	return daemons
}
