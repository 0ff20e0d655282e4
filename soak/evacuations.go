package main

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// evacuationBound is the time from an evacuation to the last request in its zone.
	evacuationBound = 5 * time.Second
	// longestEvacuation is that of one fault.
	longestEvacuation = 9 * time.Second

	evacuationPrefix = "evacuate/" // of the names of its rows
)

// evacuatedZones counts the faults that evacuate each zone.
type evacuatedZones struct {
	mu     sync.Mutex
	faults map[string]int
}

// evacuate evacuates a zone until the fault ends.
func (f *Fleet) evacuate(zone string) (endFunc, error) {
	z := &f.evacuated
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.faults == nil {
		z.faults = map[string]int{}
	}
	z.faults[zone]++
	f.writeEvacuation(zone)
	return func() error {
		z.mu.Lock()
		defer z.mu.Unlock()
		if z.faults[zone]--; z.faults[zone] == 0 {
			f.monitor.TakenBack(zone, time.Now())
			f.store.DeleteRow("op", evacuationPrefix+zone)
		}
		return nil
	}, nil
}

// writeEvacuation writes the row of an evacuation. The caller must hold f.evacuated.mu.
func (f *Fleet) writeEvacuation(zone string) {
	f.store.PutRow("op", evacuationPrefix+zone, []byte("{}"))
	f.monitor.Evacuated(zone, time.Now())
}

// restoreEvacuations writes the evacuations again that the store has lost, and takes those back
// again that have returned with an older copy.
func (f *Fleet) restoreEvacuations() {
	z := &f.evacuated
	z.mu.Lock()
	defer z.mu.Unlock()
	for zone, faults := range z.faults {
		_, listed := f.store.Value("op", evacuationPrefix+zone)
		switch {
		case faults > 0 && !listed:
			f.monitor.TakenBack(zone, time.Now()) // the bound runs anew
			f.writeEvacuation(zone)
		case faults == 0 && listed:
			f.store.DeleteRow("op", evacuationPrefix+zone)
		}
	}
}

// evacuation is the time for which a zone is evacuated. to is zero while it lasts.
type evacuation struct {
	zone     string
	from, to time.Time
}

// covers reports whether no request may arrive in the zone at a moment.
func (e *evacuation) covers(zone string, at time.Time) bool {
	return e.zone == zone && at.After(e.from.Add(evacuationBound)) && (e.to.IsZero() || at.Before(e.to))
}

// Evacuated records that operators evacuated a zone, unless they have.
func (m *Monitor) Evacuated(zone string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.evacuations {
		if e.zone == zone && e.to.IsZero() {
			return
		}
	}
	m.evacuations = append(m.evacuations, &evacuation{zone: zone, from: at})
}

// TakenBack records that operators are about to take an evacuation back.
func (m *Monitor) TakenBack(zone string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.evacuations {
		if e.zone == zone && e.to.IsZero() {
			e.to = at
		}
	}
}

// Placed records the zone of a server.
func (m *Monitor) Placed(server, zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zones[server] = zone
}

// CheckEvacuations checks that no request of a calm daemon reached a server of an evacuated
// zone after the bound. Requests over a link that has just been impaired may have been held up.
func (m *Monitor) CheckEvacuations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.evacuations) == 0 {
		return
	}
	daemons := map[string]string{}
	for _, o := range m.outcomes {
		daemons[o.ID] = o.Daemon
	}
	for _, a := range m.arrivals {
		daemon, known := daemons[a.ID]
		if !known || a.Status == fasthttp.StatusMisdirectedRequest {
			continue
		}
		for _, e := range m.evacuations {
			if !e.covers(m.zones[a.server], a.Arrived) || m.linkWasImpaired(a.server, a.Arrived, a.Arrived) || !m.daemonCalm(daemon, a.Arrived, a.Arrived) {
				continue
			}
			m.breakPromise("evacuated zone", a.ID, "%s sent a request to %s in %s, which had been evacuated %v before",
				daemon, a.server, e.zone, a.Arrived.Sub(e.from).Round(time.Millisecond))
		}
	}
}
