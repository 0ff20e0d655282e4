package entry

import (
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

const connsPerRank = 1024 // limit of connections to one dispatcher for one rank

// connPools holds the connection pools for dispatchers. Each rank has pools of its
// own, so that overload in one rank does not use the connections of another.
type connPools struct {
	pools *lazyMap[connPoolKey, *httplink.Pool]
}

type connPoolKey struct {
	address string
	rank    model.Rank
}

func newConnPools(dial httplink.Dial) *connPools {
	return &connPools{pools: newLazyMap(func(key connPoolKey) *httplink.Pool {
		return httplink.NewPool(key.address, connsPerRank, dial)
	})}
}

func (l *connPools) get(address string, rank model.Rank) *httplink.Pool {
	return l.pools.get(connPoolKey{address: address, rank: rank})
}

func (l *connPools) close() { l.pools.each((*httplink.Pool).Close) }
