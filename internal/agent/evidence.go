package agent

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// processPoll is the time between two looks at whether a lost server's process ended.
const processPoll = 20 * time.Millisecond

// evidenceBoard holds the newest evidence that counts.
type evidenceBoard struct {
	mu     sync.Mutex
	latest map[model.ServerRef]ownership.Evidence
	news   map[model.ServerRef]bool // kinds that no renewal has carried yet
}

// put stores evidence and reports whether it is of another kind than before.
func (b *evidenceBoard) put(e ownership.Evidence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := b.latest[e.Server].Kind != e.Kind
	b.latest[e.Server] = e
	if changed {
		b.news[e.Server] = true
	}
	return changed
}

// takeNews reports that the evidence is of a kind that no renewal has carried.
func (b *evidenceBoard) takeNews(ref model.ServerRef) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := b.news[ref]
	delete(b.news, ref)
	return news
}

func (b *evidenceBoard) get(ref model.ServerRef) (ownership.Evidence, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.latest[ref]
	return e, ok
}

// observe takes evidence from the dispatcher. A refusal counts only when the
// server's address refuses a connection: a reset of one connection is no loss.
func (a *Agent) observe(e ownership.Evidence) {
	if e.Kind == ownership.EvidenceRefused {
		go a.verify(e)
		return
	}
	if a.evidence.put(e) {
		a.poke()
	}
}

func (a *Agent) verify(e ownership.Evidence) {
	permit := a.gate.Permit(e.Server)
	if permit != nil && a.refuses(permit.Address) && a.evidence.put(e) {
		a.poke()
	}
}

// refuses reports that a host answers but nothing listens on the address.
func (a *Agent) refuses(address string) bool {
	conn, err := a.network.Dial(address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// evidenceOf returns the evidence on the servers to which this daemon
// dispatches: of all when full, else without health that has not changed.
func (a *Agent) evidenceOf(known *ownership.Assignment, full bool) []ctlproto.Evidence {
	var list []ctlproto.Evidence
	for i := range known.Servers {
		server := &known.Servers[i]
		active := server.ActiveDispatcher()
		if active == nil || active.Daemon != a.config.Name {
			continue
		}
		ref := model.ServerRef{Pool: known.Pool, Server: server.ID}
		e, ok := a.evidence.get(ref)
		news := a.evidence.takeNews(ref)
		if !ok || (e.Kind == ownership.EvidenceHealthy && !full && !news) {
			continue
		}
		list = append(list, ctlproto.Evidence{
			Server: server.ID,
			Kind:   e.Kind,
			AgeMS:  time.Since(e.At).Milliseconds(),
			Detail: e.Detail,
		})
	}
	return list
}

// abandonLost gives up the requests at servers that the coordinator judged
// lost. It runs on the control goroutine.
func (a *Agent) abandonLost(known *ownership.Assignment) {
	for i := range known.Servers {
		server := &known.Servers[i]
		ref := model.ServerRef{Pool: known.Pool, Server: server.ID}
		if server.State != ownership.ServerLost {
			delete(a.lost, ref)
			continue
		}
		if a.lost[ref] {
			continue
		}
		a.lost[ref] = true
		go a.settle(ref, server.Address)
	}
}

// settle ends what is in flight at a lost server. Where the process is gone its
// connections end by themselves and nothing of them runs any more; otherwise
// the requests are given up and count until their deadline.
func (a *Agent) settle(ref model.ServerRef, address string) {
	if len(a.gate.Undrained(ref, time.Now())) == 0 {
		return
	}
	latest, _ := a.evidence.get(ref)
	if latest.Kind != ownership.EvidenceRefused || !a.refuses(address) {
		a.gate.Abandon(ref, "the server was judged lost")
		return
	}
	for len(a.gate.Undrained(ref, time.Now())) > 0 {
		if a.gate.InFlight(ref) == 0 && a.refuses(address) {
			a.gate.MarkServerEnded(ref)
			a.poke()
			return
		}
		time.Sleep(processPoll)
	}
}
