package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// cleanRequest removes the headers that are not forwarded from a caller's request:
// hop-by-hop headers and those that only daemons and servers may set.
func cleanRequest(h *fasthttp.RequestHeader) {
	var removed []string
	for name := range h.All() {
		if isReserved(name) {
			removed = append(removed, string(name))
		}
	}
	for _, name := range removed {
		h.Del(name)
	}
	hop.StripRequest(h)
}

// isReserved reports whether only daemons and servers may set the header.
func isReserved(name []byte) bool {
	return hasPrefixFold(name, wire.PrefixInternal) || hasPrefixFold(name, wire.PrefixServer)
}

func hasPrefixFold(name []byte, prefix string) bool {
	return len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], []byte(prefix))
}

// copyResponseHeader copies the header of a dispatcher's response for the caller,
// without hop-by-hop headers and those by which servers report their state.
func copyResponseHeader(from, to *fasthttp.ResponseHeader) {
	from.CopyTo(to)
	hop.StripResponse(to)
	to.Del(wire.HeaderLoad)
	to.Del(wire.HeaderDraining)
	to.Del(wire.HeaderNotRun)
}
