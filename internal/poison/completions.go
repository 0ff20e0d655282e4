package poison

import (
	"container/list"
	"time"
)

// completions remembers which requests completed last: at most maxCompletions, for
// completionsMemory each.
type completions struct {
	byTime  *list.List // of completion, the latest in front
	entries map[Fingerprint]*list.Element
}

// completion is the latest completion of a request.
type completion struct {
	fingerprint Fingerprint
	at          time.Time
}

func newCompletions() *completions {
	return &completions{byTime: list.New(), entries: map[Fingerprint]*list.Element{}}
}

// add records that a request completed.
func (c *completions) add(f Fingerprint, now time.Time) {
	if known := c.entries[f]; known != nil {
		known.Value = completion{fingerprint: f, at: now}
		c.byTime.MoveToFront(known)
		return
	}
	c.entries[f] = c.byTime.PushFront(completion{fingerprint: f, at: now})
	if c.byTime.Len() > maxCompletions {
		oldest := c.byTime.Remove(c.byTime.Back()).(completion)
		delete(c.entries, oldest.fingerprint)
	}
}

// recent reports whether a request completed within completionsMemory before now.
func (c *completions) recent(f Fingerprint, now time.Time) bool {
	known := c.entries[f]
	return known != nil && now.Sub(known.Value.(completion).at) < completionsMemory
}
