package follow

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// Membership is this daemon's copy of the list of daemons.
type Membership struct {
	// Daemons are all that are registered, whether they run or not, and this one.
	Daemons []Daemon
	// Age is the age of the copy: daemons that registered since may be missing.
	Age time.Duration
	// RegisteredFor is the time since this process was registered; zero if it is not.
	RegisteredFor time.Duration
}

// Membership returns this daemon's copy of the list of daemons.
func (f *Follower) Membership() Membership {
	m := Membership{Daemons: f.Daemons(), Age: f.collectionAge(platform.Shared)}
	if at := f.registeredAt.Load(); at != nil {
		m.RegisteredFor = time.Since(*at)
	}
	return m
}

// markRegistered records that this process is registered.
func (f *Follower) markRegistered() {
	now := time.Now()
	f.registeredAt.CompareAndSwap(nil, &now)
}
