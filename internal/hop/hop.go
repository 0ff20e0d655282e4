// Package hop removes hop-by-hop headers from requests and responses.
package hop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop are the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	fasthttp.HeaderConnection,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization,
	"Proxy-Connection",
	fasthttp.HeaderTE,
	fasthttp.HeaderTrailer,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderExpect,
}

// StripRequest removes the hop-by-hop headers from a request, and those that its
// Connection header lists.
func StripRequest(h *fasthttp.RequestHeader) {
	for _, name := range listedInConnection(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripResponse removes the hop-by-hop headers from a response, and those that its
// Connection header lists.
func StripResponse(h *fasthttp.ResponseHeader) {
	listed := listedInConnection(h.Peek(fasthttp.HeaderConnection))
	h.ResetConnectionClose()
	for _, name := range listed {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// listedInConnection returns the headers that a Connection header lists, except protected
// ones.
func listedInConnection(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	var names []string
	for _, name := range strings.Split(string(value), ",") {
		name = strings.TrimSpace(name)
		if name != "" && !protected(name) {
			names = append(names, name)
		}
	}
	return names
}

// protected reports whether a name listed in a Connection header must not be removed as a
// header: it is a connection option, or a header without which the message cannot be
// read or routed.
func protected(name string) bool {
	for _, kept := range []string{"close", fasthttp.HeaderKeepAlive, fasthttp.HeaderHost, fasthttp.HeaderContentLength} {
		if strings.EqualFold(name, kept) {
			return true
		}
	}
	return false
}
