package entry

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

const linksPerRank = 1024 // connections to one dispatcher for one rank

// links holds the connections to dispatchers. Each rank has its own, so that a
// flood of one rank can't take the connections of another.
type links struct {
	dial httplink.Dial

	mu    sync.RWMutex
	pools map[linkKey]*httplink.Pool
}

type linkKey struct {
	address string
	rank    model.Rank
}

func newLinks(dial httplink.Dial) *links {
	return &links{dial: dial, pools: map[linkKey]*httplink.Pool{}}
}

func (l *links) to(address string, rank model.Rank) *httplink.Pool {
	key := linkKey{address: address, rank: rank}
	l.mu.RLock()
	pool, ok := l.pools[key]
	l.mu.RUnlock()
	if ok {
		return pool
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if pool, ok := l.pools[key]; ok {
		return pool
	}
	pool = httplink.NewPool(address, linksPerRank, l.dial)
	l.pools[key] = pool
	return pool
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pool := range l.pools {
		pool.Close()
	}
}
