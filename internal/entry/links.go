package entry

import (
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

const linksPerRank = 1024 // connections to one dispatcher for one rank

// links holds the connections to dispatchers. Each rank has its own, so that a
// flood of one rank can't take the connections of another.
type links struct {
	pools *lazyMap[linkKey, *httplink.Pool]
}

type linkKey struct {
	address string
	rank    model.Rank
}

func newLinks(dial httplink.Dial) *links {
	return &links{pools: newLazyMap(func(key linkKey) *httplink.Pool {
		return httplink.NewPool(key.address, linksPerRank, dial)
	})}
}

func (l *links) to(address string, rank model.Rank) *httplink.Pool {
	return l.pools.of(linkKey{address: address, rank: rank})
}

func (l *links) close() { l.pools.each((*httplink.Pool).Close) }
