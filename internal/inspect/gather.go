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

// askTimeout bounds the wait for all daemons' answers to one question.
const askTimeout = 2 * time.Second

// UnreachableDaemon is a daemon that did not answer.
type UnreachableDaemon struct {
	Daemon model.DaemonID `json:"daemon"`
	Reason string         `json:"why"`
}

// Answers holds what the daemons answered to one question.
type Answers[T any] struct {
	ByDaemon    map[model.DaemonID]T
	Unreachable []UnreachableDaemon
}

// gather asks all daemons at one time, this one by a plain call.
func gather[Req, Resp any](ctx context.Context, i *Inspector, method rpc.Method, request *Req, own func(context.Context, *Req) (*Resp, error)) Answers[Resp] {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := Answers[Resp]{ByDaemon: map[model.DaemonID]Resp{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, daemon := range i.daemons() {
		all.Add(1)
		go func() {
			defer all.Done()
			answer, err := ask(ctx, i, daemon, method, request, own)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				answers.Unreachable = append(answers.Unreachable, UnreachableDaemon{Daemon: daemon.ID, Reason: err.Error()})
				return
			}
			answers.ByDaemon[daemon.ID] = *answer
		}()
	}
	all.Wait()
	slices.SortFunc(answers.Unreachable, func(a, b UnreachableDaemon) int { return strings.Compare(string(a.Daemon), string(b.Daemon)) })
	return answers
}

func ask[Req, Resp any](ctx context.Context, i *Inspector, daemon directory.Daemon, method rpc.Method, request *Req, own func(context.Context, *Req) (*Resp, error)) (*Resp, error) {
	if daemon.ID == i.config.Name {
		return own(ctx, request)
	}
	return rpc.Call[Resp](ctx, i.client, daemon.Control, method, request)
}

// daemons returns all daemons that are listed or known. The list gives the
// control address of those that were not heard of yet.
func (i *Inspector) daemons() []directory.Daemon {
	members := i.member.Members()
	known := make([]directory.Daemon, 0, len(members.Daemons))
	for _, daemon := range members.Daemons {
		known = append(known, daemon)
	}
	for _, instance := range members.Instances {
		id := model.DaemonID(instance.ID)
		if _, ok := members.Daemons[id]; instance.Kind == platform.KindDaemon && !ok {
			known = append(known, directory.Daemon{ID: id, Zone: instance.Zone, Control: instance.Address})
		}
	}
	return known
}
