package entry

import (
	"sync/atomic"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// keyParameter is the name under which path patterns capture the key.
const keyParameter = "key"

// target is a route with its pool, the team that owns both, and the index of its
// rank.
type target struct {
	route *settings.Route
	pool  *settings.Pool
	team  model.TeamName
	rank  int
}

// match is the result of routing a request: the target and the captured key.
type match struct {
	*target
	key model.Key
}

// routeTable finds the route of a request. It is rebuilt when other settings come
// into force.
type routeTable struct {
	current atomic.Pointer[compiledRoutes]
}

type compiledRoutes struct {
	settings *settings.Compiled
	handler  fasthttp.RequestHandler
}

// matchValue is the name of the fasthttp user value that holds the match.
const matchValue = "chicorylug.match"

// find returns the match of a request. It returns nil when there is none; the
// response status of ctx then says whether the path or the method has no route.
func (t *routeTable) find(ctx *fasthttp.RequestCtx, compiled *settings.Compiled) *match {
	routes := t.current.Load()
	if routes == nil || routes.settings != compiled {
		routes = compileRoutes(compiled)
		t.current.Store(routes)
	}
	routes.handler(ctx)
	found, _ := ctx.UserValue(matchValue).(*match)
	return found
}

func compileRoutes(compiled *settings.Compiled) *compiledRoutes {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleOPTIONS = false
	teams := teamsOfPools(compiled)
	for _, route := range compiled.Routes {
		handler := storeMatch(&target{
			route: route,
			pool:  compiled.Pools[route.Pool],
			team:  teams[route.Pool],
			rank:  compiled.RankIndex[route.Rank],
		})
		for _, method := range route.Methods {
			r.Handle(method, route.Path, handler)
		}
	}
	return &compiledRoutes{settings: compiled, handler: r.Handler}
}

// teamsOfPools returns the team of each pool. A route and its pool always belong to
// the same team.
func teamsOfPools(compiled *settings.Compiled) map[model.PoolName]model.TeamName {
	teams := map[model.PoolName]model.TeamName{}
	for name, team := range compiled.Tree.Teams {
		for pool := range team.Pools {
			teams[pool] = name
		}
	}
	return teams
}

// storeMatch returns a handler that stores the match in the request's user values.
func storeMatch(t *target) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		key, _ := ctx.UserValue(keyParameter).(string)
		ctx.SetUserValue(matchValue, &match{target: t, key: model.Key(key)})
	}
}
