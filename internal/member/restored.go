package member

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// copiedListHold is the time after the store came back from an older copy in which the
// instances register again.
const copiedListHold = 2 * time.Second

// noticeEra begins copiedListHold when the store has come back from an older copy.
func (m *Tracker) noticeEra(era platform.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era != 0 && era > m.era {
		m.copiedUntil = time.Now().Add(copiedListHold)
	}
	m.era = max(m.era, era)
}

// listIsCopied reports whether the store's list is that of an older copy, in which
// instances are missing or have an earlier state until they have registered again. The
// list that is known stays.
func (m *Tracker) listIsCopied(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, _ := m.instances.Get(itemList)
	return now.Before(m.copiedUntil) && known.Version > 0
}
