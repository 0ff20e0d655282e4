package keeper

import (
	"strings"
	"time"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
)

// The events of a history that concern daemons: cuts, pauses and losses, also together with the
// store's return from an older copy.

// injectCut begins a cut or a pause of a daemon.
func (h *history) injectCut(e event) {
	d := h.daemons[e.index%len(h.daemons)]
	if strings.Contains(e.kind, "keeper") {
		d = h.daemons[h.keeperIndex()]
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch e.kind {
	case "keeper paused":
		d.pausedUntil = now.Add(e.duration)
	case "keeper isolated":
		d.storeCutUntil = now.Add(2 * e.duration)
		d.isolatedUntil = d.storeCutUntil
	case "keeper cut off from all servers":
		d.serversCutUntil = now.Add(e.duration)
	case "one server cut off from the keeper":
		d.serverCutUntil[h.servers[e.index].registered.Address] = now.Add(4 * e.duration)
	case "no daemon reaches the keeper":
		d.isolatedUntil = now.Add(4 * e.duration)
	case "keeper reaches no daemon":
		d.callsCutUntil = now.Add(4 * e.duration)
	case "store cut off from one daemon":
		d.storeCutUntil = now.Add(2 * e.duration)
	case "shared records cut off from one daemon":
		d.sharedCutUntil = now.Add(4 * e.duration)
	case "store answers no longer reach one daemon":
		d.deafUntil = now.Add(2 * e.duration)
	}
}

// healCuts ends the cuts that may outlast the time in which a fleet recovers.
func (h *history) healCuts() {
	for _, d := range h.daemons {
		d.mu.Lock()
		d.isolatedUntil, d.callsCutUntil, d.sharedCutUntil = time.Time{}, time.Time{}, time.Time{}
		clear(d.serverCutUntil)
		d.mu.Unlock()
	}
}

// injectRestore has the store come back from an older copy, daemons end, or both.
func (h *history) injectRestore(e event) {
	one, two := e.index%modelDaemons, (e.index+1)%modelDaemons
	switch e.kind {
	case "store restored":
		h.comeBack(e)
	case "store restored twice":
		h.comeBack(e)
		time.Sleep(e.duration / 8)
		h.restore(e.age/2, e.duration/2)
	case "store restored and keeper killed":
		index := h.keeperIndex()
		h.comeBack(e)
		h.restartDaemons(e.duration/8, index)
	case "store restored while the keeper is down":
		h.comeBackWithout(e, h.keeperIndex())
	case "store restored while two daemons are down":
		h.comeBackWithout(e, one, two)
	case "store restored while all daemons are down":
		h.comeBackWithout(e, 0, 1, 2)
	case "moves forgotten by the store and the keeper":
		h.balanceKeys(e.key)
		e.age = balanceTime + e.duration/2
		h.comeBackWithout(e, h.keeperIndex())
	case "moves forgotten by the store and all daemons":
		h.balanceKeys(e.key)
		e.age = balanceTime + e.duration/2
		h.comeBackWithout(e, 0, 1, 2)
	case "two daemons killed":
		h.restartDaemons(e.duration, one, two)
	case "all daemons killed":
		h.restartDaemons(e.duration, 0, 1, 2)
	}
}

// balanceTime is the time that balanceKeys takes.
const balanceTime = 2 * time.Second

// balanceKeys reports the load of busy keys, from the given one on, until some have moved.
func (h *history) balanceKeys(key int) {
	const reports = 4
	busy := map[int]int{}
	for i := range reports {
		busy[(key+2000*i)%catalog.LastKey] = 900
	}
	for range reports {
		h.report(&backends.KeyedStats{Keys: busy})
		time.Sleep(balanceTime / reports)
	}
}

// comeBackWithout is comeBack while daemons are down, which start at the store's return or some
// time after it.
func (h *history) comeBackWithout(e event, indexes ...int) {
	for _, index := range indexes {
		h.killDaemon(index)
	}
	h.comeBack(e)
	time.Sleep(e.duration / 8)
	for _, index := range indexes {
		h.startDaemon(index)
	}
}

// restartDaemon kills a daemon's process and starts a new one under the same name.
func (h *history) restartDaemon(index int) {
	h.killDaemon(index)
	h.startDaemon(index)
}

// killDaemon kills a daemon's process.
func (h *history) killDaemon(index int) {
	d := h.daemons[index]
	d.mu.Lock()
	d.killed = true
	d.mu.Unlock()
	d.stop()
}

// restartDaemons kills daemons together and starts them again after a time.
func (h *history) restartDaemons(after time.Duration, indexes ...int) {
	for _, index := range indexes {
		h.killDaemon(index)
	}
	time.Sleep(after)
	for _, index := range indexes {
		h.startDaemon(index)
	}
}

// comeBack has the store go down and come back from an older copy.
func (h *history) comeBack(e event) {
	down := e.duration / 4
	h.mu.Lock()
	h.storeDownUntil = time.Now().Add(down)
	h.mu.Unlock()
	time.Sleep(down)
	h.restore(e.age, e.duration/2)
}
