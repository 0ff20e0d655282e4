package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/wire"
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

// cleanRequest removes what is not forwarded from a caller's headers: what
// concerns the caller's connection, and what only daemons and servers set.
func cleanRequest(h *fasthttp.RequestHeader) {
	removed := append([]string(nil), listedInConnection(h.Peek(fasthttp.HeaderConnection))...)
	for name := range h.All() {
		if reserved(name) {
			removed = append(removed, string(name))
		}
	}
	for _, name := range removed {
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

func reserved(name []byte) bool {
	return hasPrefixFold(name, wire.PrefixInternal) || hasPrefixFold(name, wire.PrefixServer)
}

func hasPrefixFold(name []byte, prefix string) bool {
	return len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], []byte(prefix))
}

// copyAnswer copies a dispatcher's answer for the caller without the headers
// that concern the connection to the dispatcher or that only servers set.
func copyAnswer(from, to *fasthttp.ResponseHeader) {
	listed := listedInConnection(from.Peek(fasthttp.HeaderConnection))
	from.CopyTo(to)
	to.ResetConnectionClose()
	for _, name := range listed {
		to.Del(name)
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	to.Del(wire.HeaderLoad)
	to.Del(wire.HeaderDraining)
	to.Del(wire.HeaderNotRun)
}
