package settings

import (
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
)

// KeyParameter is the name of the path parameter that captures the key.
const KeyParameter = "key"

var allowedMethods = []string{
	fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPost, fasthttp.MethodPut, fasthttp.MethodPatch, fasthttp.MethodDelete,
}

var parameterPattern = regexp.MustCompile(`\{[^{}]*\}`)

// routeIndex maps a method and a path pattern, without the names of its
// parameters, to the name of the first route that has them. It serves to find
// duplicates.
type routeIndex map[string]string

func (c *checker) checkRoute(where path, team *Team, route *Route) {
	c.checkMethods(where.child("methods"), route)
	c.checkPath(where.child("path"), team, route)
	c.checkReferences(where, team, route)
	c.checkRepeat(where.child("repeat"), route)
	c.checkRange(where.child("timeout_ms"), int64(route.TimeoutMS), 1, maxTimeoutMS)
	c.checkRange(where.child("max_body_bytes"), route.MaxBodyBytes, 1, maxBodyBytes)
}

func (c *checker) checkMethods(where path, route *Route) {
	if len(route.Methods) == 0 {
		c.report(where, "found no methods, want one or more; %s", allowedNames(allowedMethods))
	}
	seen := map[string]bool{}
	for i, method := range route.Methods {
		if !slices.Contains(allowedMethods, method) {
			c.report(where.child(strconv.Itoa(i)), "found method %q; %s", method, allowedNames(allowedMethods))
		}
		if seen[method] {
			c.report(where.child(strconv.Itoa(i)), "found method %q a second time, want each method once", method)
		}
		seen[method] = true
	}
}

func (c *checker) checkPath(where path, team *Team, route *Route) {
	if problem := patternProblem(route.Path); problem != "" {
		c.report(where, "found %q, want a path pattern such as /drafts/{key}: %s", route.Path, problem)
		return
	}
	pool := team.Pools[route.Pool]
	if pool != nil && pool.Keyed && !capturesKey(route.Path) {
		c.report(where, "found %q, want a pattern with {key}: pool %s is keyed", route.Path, route.Pool)
	}
	for _, method := range route.Methods {
		signature := method + " " + parameterPattern.ReplaceAllString(route.Path, "{}")
		if first, taken := c.routes[signature]; taken {
			c.report(where, "found %s %s a second time, want each method and path once: route %s has it", method, route.Path, first)
			continue
		}
		c.routes[signature] = string(route.Name)
	}
}

func (c *checker) checkReferences(where path, team *Team, route *Route) {
	if _, ok := team.Pools[route.Pool]; !ok {
		c.report(where.child("pool"), "found pool %q, want a pool of the same team; %s", route.Pool, allowedNames(slices.Collect(maps.Keys(team.Pools))))
	}
	ranks := make([]model.Rank, 0, len(c.tree.Fleet.Ranks))
	for _, rank := range c.tree.Fleet.Ranks {
		ranks = append(ranks, rank.Name)
	}
	if !slices.Contains(ranks, route.Rank) {
		c.report(where.child("rank"), "found rank %q, want a rank of the fleet; %s", route.Rank, allowedNames(ranks))
	}
}

func (c *checker) checkRepeat(where path, route *Route) {
	switch route.Repeat {
	case "", Idempotent, Once:
	default:
		c.report(where, "found %q, want %q or %q", route.Repeat, Idempotent, Once)
		return
	}
	if routeWithDefaults(route).Repeat != Once {
		return
	}
	for _, method := range route.Methods {
		if method == fasthttp.MethodGet || method == fasthttp.MethodHead {
			c.report(where, "found %q with method %s, want %q: reads may run again; give writes a route of their own", Once, method, Idempotent)
			return
		}
	}
}

// patternProblem returns what is wrong with a path pattern, or "" if it is valid.
// The router panics on the patterns that it does not accept.
func patternProblem(pattern string) (problem string) {
	if !strings.HasPrefix(pattern, "/") {
		return "it does not start with /"
	}
	if strings.Count(pattern, "{"+KeyParameter+"}")+strings.Count(pattern, "{"+KeyParameter+":") > 1 {
		return "it names {key} more than once"
	}
	if strings.ContainsAny(parameterPattern.ReplaceAllString(pattern, ""), "{}") {
		return "its braces do not match"
	}
	defer func() {
		if cause := recover(); cause != nil {
			problem = fmt.Sprint(cause)
		}
	}()
	router.New().Handle(fasthttp.MethodGet, pattern, func(*fasthttp.RequestCtx) {})
	return ""
}

func capturesKey(pattern string) bool {
	return strings.Contains(pattern, "{"+KeyParameter+"}") || strings.Contains(pattern, "{"+KeyParameter+":")
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number <= 65535
}
