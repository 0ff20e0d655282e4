package follow

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// SpeedBook is what a daemon knows of the speeds of servers. The polls between daemons carry
// samples to the daemon that is polled, and its figures back.
type SpeedBook interface {
	// TakeTallies returns the samples since the last call, encoded and bounded.
	TakeTallies() []byte
	// AddTallies adds the samples of another daemon.
	AddTallies(encoded []byte, now time.Time) error
	// Figures returns the figures that were published after a sequence number, encoded and
	// bounded, and the number of the last one.
	Figures(after uint64, now time.Time) (encoded []byte, last uint64)
	// AddFigures takes over the figures of another daemon.
	AddFigures(encoded []byte, now time.Time) error
}

// speedExchange passes figures of servers' speeds with polls.
type speedExchange struct {
	book SpeedBook // nil if speeds are not passed on

	mu      sync.Mutex
	address string // of the daemon whose figures came last,
	seen    uint64 // and the sequence number of the last of these
}

// SetSpeeds makes polls carry what the daemons know of servers' speeds. It is to be called
// before the service starts.
func (f *Follower) SetSpeeds(book SpeedBook) { f.speeds.book = book }

// writeRequest adds this daemon's samples to a poll of the daemon at an address.
func (x *speedExchange) writeRequest(r *pollRequest, address string) {
	if x.book == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	r.Speeds = x.book.TakeTallies()
	if address == x.address {
		r.SpeedsAfter = x.seen
	}
}

// readResponse takes over the figures of the daemon at an address.
func (x *speedExchange) readResponse(r *pollResponse, address string) error {
	if x.book == nil || r.SpeedsLast == 0 {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.address, x.seen = address, r.SpeedsLast
	return x.book.AddFigures(r.Speeds, time.Now())
}

// readRequest adds the samples of the caller of a poll.
func (x *speedExchange) readRequest(r *pollRequest) error {
	if x.book == nil || len(r.Speeds) == 0 {
		return nil
	}
	return x.book.AddTallies(r.Speeds, time.Now())
}

// writeResponse adds the figures that the caller of a poll has not got yet.
func (x *speedExchange) writeResponse(request *pollRequest, response *pollResponse) {
	if x.book != nil {
		response.Speeds, response.SpeedsLast = x.book.Figures(request.SpeedsAfter, time.Now())
	}
}

// logSpeeds logs that figures of a peer could not be read, which costs nothing but them.
func (f *Follower) logSpeeds(peer string, err error) {
	if err != nil {
		f.log.Warn("a peer's figures of servers' speeds can't be read and are left out", zap.String("peer", peer), zap.Error(err))
	}
}
