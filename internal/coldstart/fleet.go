package coldstart

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

const (
	// MaxFleetAge is the age of the list of daemons up to which this daemon is a holder.
	MaxFleetAge = 5 * time.Second
	// MinRegistered is the time from a daemon's registration until it is a holder. It is
	// longer than MaxFleetAge: each other holder has heard of the daemon by then.
	MinRegistered = 6 * time.Second

	returnSpread = 500 * time.Millisecond // range over which the daemons return to a server that is warm again
)

// Member is one registered daemon.
type Member struct {
	Name  model.DaemonID
	Cores float64
}

// Fleet is this daemon's copy of the list of daemons.
type Fleet struct {
	Members []Member
	// Age is the age of the copy.
	Age time.Duration
	// RegisteredFor is the time since this process was registered; zero if it is not.
	RegisteredFor time.Duration
}

// maySend reports whether a daemon that got this copy some time ago may be a holder: no other daemon can have
// taken its place without its knowledge, and it has not been taken for another process.
func (f *Fleet) maySend(ago time.Duration) bool {
	return f.Age+ago <= MaxFleetAge && f.RegisteredFor >= MinRegistered
}

// holders returns the daemons that may send to a process while it is cold: those with the
// highest scores among all registered ones, whether they run or not.
func (f *Fleet) holders(p Process, count int) []model.DaemonID {
	type scored struct {
		name  model.DaemonID
		score float64
	}
	best := make([]scored, 0, count+1)
	subject := subject(p)
	for _, m := range f.Members {
		s := scored{name: m.Name, score: placement.WeightedScore(subject, string(m.Name), m.Cores)}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score != b.score {
				return compareDescending(a.score, b.score)
			}
			return compareNames(a.name, b.name)
		})
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), count)]
	}
	names := make([]model.DaemonID, 0, len(best))
	for _, s := range best {
		names = append(names, s.name)
	}
	return names
}

func compareDescending(a, b float64) int {
	if a > b {
		return -1
	}
	return 1
}

func compareNames(a, b model.DaemonID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// subject identifies a process in scores.
func subject(p Process) string {
	return string(p.Server) + "/" + p.Address + "/" + strconv.FormatInt(p.StartedMS, 10)
}

// returnDelay returns the time by which a daemon returns to a process later than it is warm.
func returnDelay(self model.DaemonID, p Process) time.Duration {
	phase := float64(placement.Score(subject(p), "return/"+string(self))) / math.MaxUint64
	return time.Duration(phase * float64(returnSpread))
}
