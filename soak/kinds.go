package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Kind names a kind of fault.
type Kind string

// kindPause stops a daemon for a time.
const kindPause Kind = "pause"

// Beginnings of the kinds of faults of the connections to a server, and from other daemons
// to a daemon.
const (
	serverLinkPrefix = "server-link"
	peerLinkPrefix   = "peer-link"
)

// targetClass is what a kind of fault affects.
type targetClass string

const (
	classDaemon targetClass = "d"
	classServer targetClass = "s"
	classStore  targetClass = "store"
	// classRestore are the ages of the copies from which the store returns.
	classRestore targetClass = "restore"
	classConfig  targetClass = "config"
	classZone    targetClass = "zone-"
)

// target returns the name of a target in the text form of a plan.
func (c targetClass) target(i int) string {
	switch c {
	case classStore, classConfig:
		return ""
	case classRestore:
		return (time.Duration(i) * copyAgeStep).String()
	}
	return fmt.Sprintf("%s%d", c, i)
}

// isStore reports whether faults of the class affect the whole store.
func (c targetClass) isStore() bool { return c == classStore || c == classRestore }

// endFunc ends a fault.
type endFunc func() error

// beginFunc injects a fault into a target.
type beginFunc func(f *Fleet, target string) (endFunc, error)

// cutsPeers reports whether the kind cuts a daemon off from other daemons.
func (k Kind) cutsPeers() bool { return strings.HasPrefix(string(k), peerLinkPrefix+"-cut-") }

// kindInfo says how a kind of fault is injected.
type kindInfo struct {
	class             targetClass
	shortest, longest time.Duration
	// planned faults are maintenance, during which no request may be aborted.
	planned bool
	// delaysGrants says that grants may still arrive shortly after the end of the fault.
	delaysGrants bool
	// recorded says that the store's records change in consequence of the fault.
	recorded bool
	// weight is how much likelier than others the kind is in a plan. Zero counts as one.
	weight int
	begin  beginFunc
}

// Bounds of the durations of faults.
const (
	brief    = 100 * time.Millisecond
	moderate = 2 * time.Second
	long     = 4 * time.Second
)

// Sizes of faults.
const (
	storeDelayMS    = 150
	extraService    = 300 * time.Millisecond
	lostStoreWrites = 4
	lostGrants      = 3
	copiedOneIn     = 5
	stormPause      = 250 * time.Millisecond // between two configurations of a storm
	stormWeight     = 2
	pauseSeconds    = "1.5" // for which a server wants no requests
	// Copies from which the store returns are up to maxCopyAge older than its outage.
	maxCopyAge    = 12 * time.Second
	copyAgeStep   = time.Second
	restoreWeight = 5
)

// kinds are all kinds of faults.
var kinds = map[Kind]kindInfo{}

// kindNames are the names of all kinds in order, so that a seed always has the same plan.
var kindNames []Kind

func init() {
	addDaemonKinds()
	addLinkKinds()
	addServerKinds()
	addStoreKinds()
	for name := range kinds {
		kindNames = append(kindNames, name)
	}
	sort.Slice(kindNames, func(i, j int) bool { return kindNames[i] < kindNames[j] })
}

func addDaemonKinds() {
	kinds["term"] = kindInfo{class: classDaemon, shortest: brief, longest: moderate, planned: true, recorded: true, begin: restart(syscall.SIGTERM)}
	kinds["kill"] = kindInfo{class: classDaemon, shortest: brief, longest: moderate, recorded: true, begin: restart(syscall.SIGKILL)}
	kinds[kindPause] = kindInfo{class: classDaemon, shortest: brief, longest: long, delaysGrants: true, begin: pause}
	kinds["hup"] = kindInfo{class: classDaemon, shortest: brief, longest: brief, planned: true, begin: reload}
}

// restart stops a daemon by a signal and starts it again when the fault ends.
func restart(signal syscall.Signal) beginFunc {
	return func(f *Fleet, target string) (endFunc, error) {
		d := f.daemon(target)
		return d.start, d.stop(signal)
	}
}

func pause(f *Fleet, target string) (endFunc, error) {
	d := f.daemon(target)
	resume := func() error { return d.signal(syscall.SIGCONT) }
	return resume, d.signal(syscall.SIGSTOP)
}

func reload(f *Fleet, target string) (endFunc, error) {
	return nothing, f.daemon(target).signal(syscall.SIGHUP)
}

// addLinkKinds adds the faults of the connections from a daemon to the store, from all
// daemons to a server, from the callers to a daemon and from other daemons to a daemon.
// Faults of the last ones hold up no grants.
func addLinkKinds() {
	add := func(name string, mode LinkMode, class targetClass, link func(*Fleet, string) *Link) {
		kinds[Kind(name+"-"+string(mode))] = kindInfo{
			class: class, shortest: brief, longest: long, delaysGrants: name != peerLinkPrefix,
			begin: func(f *Fleet, target string) (endFunc, error) { return link(f, target).impair(mode), nil },
		}
	}
	for _, mode := range linkModes {
		add("store-link", mode, classDaemon, func(f *Fleet, target string) *Link { return f.daemon(target).toStore })
		add("caller-link", mode, classDaemon, func(f *Fleet, target string) *Link { return f.daemon(target).toCallers })
		add(peerLinkPrefix, mode, classDaemon, func(f *Fleet, target string) *Link { return f.daemon(target).toPeers })
		add(serverLinkPrefix, mode, classServer, func(f *Fleet, target string) *Link { return f.slot(target).currentLink() })
	}
}

// serverFaults are the faults that a stand-in server has by itself.
var serverFaults = map[Kind]func(*fenced.Faults){
	"server-shed":         func(s *fenced.Faults) { s.ShedAll = true },
	"server-hang-full":    func(s *fenced.Faults) { s.HangWhenFull, s.ExtraServiceTime = true, extraService },
	"server-silent":       func(s *fenced.Faults) { s.Unresponsive = true },
	"server-lose-answers": func(s *fenced.Faults) { s.ResetAfterRun = true },
	"server-wrong-id":     func(s *fenced.Faults) { s.WrongAttemptID = true },
	"server-late-copies":  func(s *fenced.Faults) { s.LateCopies = copySome },
	"server-unframed":     func(s *fenced.Faults) { s.Unframed = true },
	"server-pause":        func(s *fenced.Faults) { s.Pause = pauseSeconds },
	"server-fail":         func(s *fenced.Faults) { s.FailAll = true },
	"server-slow":         func(s *fenced.Faults) { s.ExtraServiceTime = extraService },
	"server-lose-grants":  func(s *fenced.Faults) { s.DropGrantResponses = lostGrants },
	"server-flood":        func(s *fenced.Faults) { s.Flood = fenced.FloodChunks },
	"server-trickle":      func(s *fenced.Faults) { s.Flood = fenced.FloodTrickledBody },
}

// copySome says for one in copiedOneIn answers of any kind that a second copy follows late.
func copySome(string, int) bool { return rand.IntN(copiedOneIn) == 0 }

func addServerKinds() {
	add := func(name Kind, planned, recorded bool, begin func(*serverSlot) (endFunc, error)) {
		kinds[name] = kindInfo{
			class: classServer, shortest: brief, longest: long, planned: planned, recorded: recorded,
			begin: func(f *Fleet, target string) (endFunc, error) { return begin(f.slot(target)) },
		}
	}
	for name, set := range serverFaults {
		add(name, false, false, func(s *serverSlot) (endFunc, error) { return s.impair(set), nil })
	}
	add("server-crash", false, true, (*serverSlot).crash)
	add("server-lapse", false, true, (*serverSlot).lapse)
	add("server-says-leaving", true, true, (*serverSlot).sayLeaving)
	add("server-drain", true, true, func(s *serverSlot) (endFunc, error) { return s.replace(true) })
	add("server-leave", true, true, func(s *serverSlot) (endFunc, error) { return s.replace(false) })
}

// storeFaults are the faults that the stand-in store has by itself.
var storeFaults = map[Kind]func(*platformd.Faults){
	"store-down":       takeStoreDown,
	"store-slow":       func(s *platformd.Faults) { s.DelayMS = storeDelayMS },
	"store-lose":       func(s *platformd.Faults) { s.DropWriteResponses = lostStoreWrites },
	"store-no-history": func(s *platformd.Faults) { s.HistoryGone = true },
}

func takeStoreDown(s *platformd.Faults) { s.Down, s.ListDown = true, true }

func addStoreKinds() {
	for name, set := range storeFaults {
		kinds[name] = kindInfo{
			class: classStore, shortest: brief, longest: long,
			begin: func(f *Fleet, _ string) (endFunc, error) { return f.impairStore(set), nil },
		}
	}
	kinds["store-restore"] = kindInfo{
		class: classRestore, shortest: brief, longest: moderate, weight: restoreWeight, begin: (*Fleet).restoreStore,
	}
	kinds["config"] = kindInfo{
		class: classConfig, shortest: brief, longest: brief, planned: true, recorded: true,
		begin: func(f *Fleet, _ string) (endFunc, error) { return nothing, f.configure() },
	}
	kinds["config-storm"] = kindInfo{
		class: classConfig, shortest: moderate, longest: long, planned: true, recorded: true, weight: stormWeight,
		begin: func(f *Fleet, _ string) (endFunc, error) { return f.configureOften(), nil },
	}
	kinds["evacuate"] = kindInfo{
		class: classZone, shortest: moderate, longest: longestEvacuation, planned: true, recorded: true, begin: (*Fleet).evacuate,
	}
}

func nothing() error { return nil }
