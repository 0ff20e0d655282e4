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

// match is a caller's request that found its route.
type match struct {
	route *settings.Route
	pool  *settings.Pool
	rank  int
	key   model.Key
}

// routeTable finds routes. It is rebuilt when other settings come into force.
type routeTable struct {
	current atomic.Pointer[compiledRoutes]
}

type compiledRoutes struct {
	settings *settings.Compiled
	handler  fasthttp.RequestHandler
}

// matchValue is the user value under which the router leaves a match.
const matchValue = "chicorylug.match"

// find returns the match, or nil with the status that the router chose.
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
	for _, route := range compiled.Routes {
		handler := leaveMatch(route, compiled)
		for _, method := range route.Methods {
			r.Handle(method, route.Path, handler)
		}
	}
	return &compiledRoutes{settings: compiled, handler: r.Handler}
}

func leaveMatch(route *settings.Route, compiled *settings.Compiled) fasthttp.RequestHandler {
	pool := compiled.Pools[route.Pool]
	rank := compiled.RankIndex[route.Rank]
	return func(ctx *fasthttp.RequestCtx) {
		key, _ := ctx.UserValue(keyParameter).(string)
		ctx.SetUserValue(matchValue, &match{route: route, pool: pool, rank: rank, key: model.Key(key)})
	}
}
