package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// cleanRequest removes what is not forwarded from a caller's headers: what
// concerns the caller's connection, and what only daemons and servers set.
func cleanRequest(h *fasthttp.RequestHeader) {
	var removed []string
	for name := range h.All() {
		if reserved(name) {
			removed = append(removed, string(name))
		}
	}
	for _, name := range removed {
		h.Del(name)
	}
	hop.StripRequest(h)
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
	from.CopyTo(to)
	hop.StripResponse(to)
	to.Del(wire.HeaderLoad)
	to.Del(wire.HeaderDraining)
	to.Del(wire.HeaderNotRun)
}
