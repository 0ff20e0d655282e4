// Package hop removes the headers that concern one connection only.
package hop

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop are the headers that concern one connection only.
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

// StripRequest removes from a request what concerns the sender's connection.
func StripRequest(h *fasthttp.RequestHeader) {
	for _, name := range listedInConnection(h.Peek(fasthttp.HeaderConnection)) {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// StripResponse removes from an answer what concerns the sender's connection.
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

// listedInConnection returns the headers that a Connection header names.
func listedInConnection(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	var names []string
	for _, name := range strings.Split(string(value), ",") {
		name = strings.TrimSpace(name)
		if name != "" && !framing(name) {
			names = append(names, name)
		}
	}
	return names
}

// framing reports that a header can't be dropped on the word of a Connection header.
func framing(name string) bool {
	for _, kept := range []string{"close", fasthttp.HeaderKeepAlive, fasthttp.HeaderHost, fasthttp.HeaderContentLength} {
		if strings.EqualFold(name, kept) {
			return true
		}
	}
	return false
}
