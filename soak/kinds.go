package main

import (
	"fmt"
	"sort"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Kind names a kind of fault.
type Kind string

// targetClass is what a kind of fault affects.
type targetClass string

const (
	classDaemon targetClass = "d"
	classServer targetClass = "s"
	classStore  targetClass = "store"
	classConfig targetClass = "config"
)

// target returns the name of a target in the text form of a plan.
func (c targetClass) target(i int) string {
	if c == classStore || c == classConfig {
		return ""
	}
	return fmt.Sprintf("%s%d", c, i)
}

// kindInfo says how a kind of fault is injected.
type kindInfo struct {
	class             targetClass
	shortest, longest time.Duration
	// planned faults are maintenance, during which no request may be aborted.
	planned bool
	// delaysGrants says that grants may still arrive shortly after the end of the fault.
	delaysGrants bool
	// begin injects the fault and returns a function that ends it.
	begin func(f *Fleet, target string) (end func() error, err error)
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
	restart := func(signal syscall.Signal) func(*Fleet, string) (func() error, error) {
		return func(f *Fleet, target string) (func() error, error) {
			d := f.daemon(target)
			return d.start, d.stop(signal)
		}
	}
	kinds["term"] = kindInfo{classDaemon, brief, moderate, true, false, restart(syscall.SIGTERM)}
	kinds["kill"] = kindInfo{classDaemon, brief, moderate, false, false, restart(syscall.SIGKILL)}
	kinds["pause"] = kindInfo{classDaemon, brief, long, false, true, func(f *Fleet, target string) (func() error, error) {
		d := f.daemon(target)
		return func() error { return d.signal(syscall.SIGCONT) }, d.signal(syscall.SIGSTOP)
	}}
	kinds["hup"] = kindInfo{classDaemon, brief, brief, true, false, func(f *Fleet, target string) (func() error, error) {
		return nothing, f.daemon(target).signal(syscall.SIGHUP)
	}}
}

// addLinkKinds adds the faults of the connections from a daemon to the store, from all
// daemons to a server and from the callers to a daemon.
func addLinkKinds() {
	for _, mode := range linkModes {
		add := func(name string, class targetClass, link func(*Fleet, string) *Link) {
			kinds[Kind(name+"-"+string(mode))] = kindInfo{class, brief, long, false, true, func(f *Fleet, target string) (func() error, error) {
				return link(f, target).impair(mode), nil
			}}
		}
		add("store-link", classDaemon, func(f *Fleet, target string) *Link { return f.daemon(target).toStore })
		add("caller-link", classDaemon, func(f *Fleet, target string) *Link { return f.daemon(target).toCallers })
		add("server-link", classServer, func(f *Fleet, target string) *Link { return f.slot(target).currentLink() })
	}
}

func addServerKinds() {
	faults := map[Kind]func(*fenced.Faults){
		"server-shed":         func(s *fenced.Faults) { s.ShedAll = true },
		"server-hang-full":    func(s *fenced.Faults) { s.HangWhenFull, s.ExtraServiceTime = true, extraService },
		"server-silent":       func(s *fenced.Faults) { s.Unresponsive = true },
		"server-lose-answers": func(s *fenced.Faults) { s.ResetAfterRun = true },
		"server-wrong-id":     func(s *fenced.Faults) { s.WrongAttemptID = true },
		"server-unframed":     func(s *fenced.Faults) { s.Unframed = true },
		"server-fail":         func(s *fenced.Faults) { s.FailAll = true },
		"server-slow":         func(s *fenced.Faults) { s.ExtraServiceTime = extraService },
		"server-lose-grants":  func(s *fenced.Faults) { s.DropGrantResponses = lostGrants },
		"server-flood":        func(s *fenced.Faults) { s.Flood = fenced.FloodChunks },
		"server-trickle":      func(s *fenced.Faults) { s.Flood = fenced.FloodTrickledBody },
	}
	for name, set := range faults {
		kinds[name] = kindInfo{classServer, brief, long, false, false, func(f *Fleet, target string) (func() error, error) {
			return f.slot(target).impair(set), nil
		}}
	}
	add := func(name Kind, planned bool, begin func(*serverSlot) (func() error, error)) {
		kinds[name] = kindInfo{classServer, brief, long, planned, false, func(f *Fleet, target string) (func() error, error) {
			return begin(f.slot(target))
		}}
	}
	add("server-crash", false, (*serverSlot).crash)
	add("server-lapse", false, (*serverSlot).lapse)
	add("server-drain", true, func(s *serverSlot) (func() error, error) { return s.replace(true) })
	add("server-leave", true, func(s *serverSlot) (func() error, error) { return s.replace(false) })
}

func addStoreKinds() {
	faults := map[Kind]func(*platformd.Faults){
		"store-down":       func(s *platformd.Faults) { s.Down, s.ListDown = true, true },
		"store-slow":       func(s *platformd.Faults) { s.DelayMS = storeDelayMS },
		"store-lose":       func(s *platformd.Faults) { s.DropWriteResponses = lostStoreWrites },
		"store-no-history": func(s *platformd.Faults) { s.HistoryGone = true },
	}
	for name, set := range faults {
		kinds[name] = kindInfo{classStore, brief, long, false, false, func(f *Fleet, _ string) (func() error, error) {
			return f.impairStore(set), nil
		}}
	}
	kinds["config"] = kindInfo{classConfig, brief, brief, true, false, func(f *Fleet, _ string) (func() error, error) {
		return nothing, f.configure()
	}}
}

func nothing() error { return nil }
