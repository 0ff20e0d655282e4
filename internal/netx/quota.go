package netx

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrQuota is the error of a dial for which a quota has no connection left.
var ErrQuota = errors.New("netx: the share of connections is in use")

// Quota is a share of the process's connections. It is safe for concurrent use.
type Quota struct {
	limit int64
	open  atomic.Int64
	// closeIdle closes a connection that is not in use. It reports false if there is none.
	closeIdle func() bool
}

// NewQuota returns a quota of limit connections. closeIdle closes a connection that counts
// against the quota and is not in use; it reports false if there is none.
func NewQuota(limit int, closeIdle func() bool) *Quota {
	return &Quota{limit: int64(limit), closeIdle: closeIdle}
}

// Open returns the number of open connections.
func (q *Quota) Open() int64 { return q.open.Load() }

// take counts a connection that is about to be opened. If there is none left, it closes one
// that is not in use; it reports false if each is in use.
func (q *Quota) take() bool {
	for !q.tryTake() {
		if !q.closeIdle() {
			return q.tryTake()
		}
	}
	return true
}

// tryTake counts a connection that is about to be opened if there is one left.
func (q *Quota) tryTake() bool {
	for {
		open := q.open.Load()
		if open >= q.limit {
			return false
		}
		if q.open.CompareAndSwap(open, open+1) {
			return true
		}
	}
}

func (q *Quota) give() { q.open.Add(-1) }
