package admin

import (
	"context"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/settings"
)

func (a *Admin) fleet(ctx *fasthttp.RequestCtx, _ Principal) {
	writeJSON(ctx, a.inspector.Fleet(context.Background()))
}

func (a *Admin) top(ctx *fasthttp.RequestCtx, _ Principal) {
	writeJSON(ctx, a.inspector.Counts(context.Background()))
}

func (a *Admin) events(ctx *fasthttp.RequestCtx, _ Principal) {
	args := ctx.QueryArgs()
	writeJSON(ctx, a.inspector.Events(context.Background(), inspect.EventFilter{
		Pool:    model.PoolName(args.Peek("pool")),
		Kind:    journal.Kind(args.Peek("kind")),
		Subject: string(args.Peek("subject")),
		Limit:   args.GetUintOrZero("limit"),
	}))
}

func (a *Admin) owners(ctx *fasthttp.RequestCtx, _ Principal) {
	args := ctx.QueryArgs()
	writeJSON(ctx, a.inspector.OwnersWithEvents(context.Background(), model.Key(args.Peek("key")), model.PoolName(args.Peek("pool"))))
}

func (a *Admin) explain(ctx *fasthttp.RequestCtx, _ Principal) {
	writeJSON(ctx, a.inspector.Explain(context.Background(), string(ctx.QueryArgs().Peek("what"))))
}

// Pool is one element of the response of PathPools.
type Pool struct {
	Name  model.PoolName `json:"name"`
	Team  model.TeamName `json:"team"`
	Keyed bool           `json:"keyed"`
	Term  model.Term     `json:"term"`
	Seq   model.Seq      `json:"seq"`
	// Servers are the servers of the assignment that this daemon holds.
	Servers []PoolServer `json:"servers"`
}

// PoolServer is a server with the number of shards that it owns.
type PoolServer struct {
	ownership.Server
	Shards  int  `json:"shards"`
	Drained bool `json:"drained,omitempty"`
}

func (a *Admin) pools(ctx *fasthttp.RequestCtx, _ Principal) {
	list := []Pool{}
	snapshot := a.directory.Load()
	if snapshot.Settings == nil {
		writeJSON(ctx, list)
		return
	}
	for team, subtree := range snapshot.Settings.Tree.Teams {
		for name, pool := range subtree.Pools {
			list = append(list, poolView(team, name, pool, snapshot.Pools[name]))
		}
	}
	slices.SortFunc(list, func(x, y Pool) int { return strings.Compare(string(x.Name), string(y.Name)) })
	writeJSON(ctx, list)
}

func poolView(team model.TeamName, name model.PoolName, pool *settings.Pool, assignment *ownership.Assignment) Pool {
	view := Pool{Name: name, Team: team, Keyed: pool.Keyed, Servers: []PoolServer{}}
	if assignment == nil {
		return view
	}
	view.Term, view.Seq = assignment.Term, assignment.Seq
	owned := map[model.ServerID]int{}
	for _, shard := range assignment.Shards {
		owned[shard.Server]++
	}
	for _, server := range assignment.Servers {
		view.Servers = append(view.Servers, PoolServer{
			Server:  server,
			Shards:  owned[server.ID],
			Drained: pool.Drained(server.ID),
		})
	}
	return view
}

// Route is one element of the response of PathRoutes: a route, with defaults filled
// in, and the team that owns it.
type Route struct {
	Team model.TeamName `json:"team"`
	*settings.Route
}

func (a *Admin) routeList(ctx *fasthttp.RequestCtx, _ Principal) {
	list := []Route{}
	if compiled := a.directory.Load().Settings; compiled != nil {
		for team, subtree := range compiled.Tree.Teams {
			for _, route := range subtree.Routes {
				list = append(list, Route{Team: team, Route: settings.RouteWithDefaults(route)})
			}
		}
	}
	slices.SortFunc(list, func(x, y Route) int { return strings.Compare(x.Path+x.Methods[0], y.Path+y.Methods[0]) })
	writeJSON(ctx, list)
}
