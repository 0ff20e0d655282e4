package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Plan is the size of a fleet and the faults that one run injects. Its text form can be
// edited and replayed.
type Plan struct {
	Seed    uint64
	Daemons int
	Keyed   int // servers that own keys
	Plain   int // servers that own no keys
	Events  []Event
}

// Event is one fault. It begins at At after the start of the faults and lasts For.
type Event struct {
	At, For time.Duration
	Kind    Kind
	Target  string // empty for faults of the whole store and changes of the configuration; an age for its return from a copy
}

// String returns the event's line of a plan.
func (e Event) String() string {
	return strings.TrimSpace(fmt.Sprintf("%v %v %s %s", e.At, e.For, e.Kind, e.Target))
}

// keeperTarget is the daemon that assigns keys to servers when the fault begins.
const keeperTarget = "keeper"

// Sizes of the fleets that NewPlan makes, and the time in which events begin.
const (
	minDaemons, maxDaemons = 5, 8
	minServers, maxServers = 3, 5 // of each service
	faultSpan              = 9 * time.Second
	minEvents, maxEvents   = 8, 20
	timeStep               = 10 * time.Millisecond // of the events of a plan
	// seriesChance is the chance that an event hits the target of the one before.
	seriesChance = 0.3
	// keeperChance is the chance that a daemon's fault hits the keeper.
	keeperChance = 0.3
)

// NewPlan returns the plan of a seed. The same seed always has the same plan.
func NewPlan(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, seed))
	between := func(low, high int) int { return low + rng.IntN(high-low+1) }
	p := Plan{
		Seed: seed, Daemons: between(minDaemons, maxDaemons),
		Keyed: between(minServers, maxServers), Plain: between(minServers, maxServers),
	}
	names := profiles[rng.IntN(len(profiles))].kinds()
	last := -1
	for range between(minEvents, maxEvents) {
		kind := names[rng.IntN(len(names))]
		count := p.targets(kinds[kind].class)
		if last < 0 || rng.Float64() >= seriesChance {
			last = rng.IntN(count)
		}
		e := Event{
			At:     randomDuration(rng, 0, faultSpan),
			For:    randomDuration(rng, kinds[kind].shortest, kinds[kind].longest),
			Kind:   kind,
			Target: kinds[kind].class.target(last % count),
		}
		if kinds[kind].class == classDaemon && rng.Float64() < keeperChance {
			e.Target = keeperTarget
		}
		p.Events = append(p.Events, e)
	}
	sort.SliceStable(p.Events, func(i, j int) bool { return p.Events[i].At < p.Events[j].At })
	return p
}

// profile selects the kinds of faults of a plan.
type profile func(kindInfo) bool

// profiles are equally likely. Some promises hold only while the store works, or while
// there is only maintenance. The last one has faults of the store and others that change what
// it holds.
var profiles = []profile{
	func(kindInfo) bool { return true },
	func(kindInfo) bool { return true },
	func(k kindInfo) bool { return !k.class.isStore() },
	func(k kindInfo) bool { return k.planned },
	func(k kindInfo) bool { return k.class.isStore() || k.recorded },
}

// kinds returns the names of the kinds that a profile selects, in order, each as often as
// its weight says.
func (p profile) kinds() []Kind {
	var names []Kind
	for _, name := range kindNames {
		if !p(kinds[name]) {
			continue
		}
		for range max(1, kinds[name].weight) {
			names = append(names, name)
		}
	}
	return names
}

func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64((longest-shortest)/timeStep)+1))*timeStep
}

// targets returns the number of targets of a class.
func (p Plan) targets(class targetClass) int {
	switch class {
	case classDaemon:
		return p.Daemons
	case classServer:
		return p.Keyed + p.Plain
	case classZone:
		return zones
	case classRestore:
		return int(maxCopyAge/copyAgeStep) + 1
	default:
		return 1
	}
}

// Write prints the plan as text.
func (p Plan) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "fleet seed=%d daemons=%d keyed=%d plain=%d\n", p.Seed, p.Daemons, p.Keyed, p.Plain)
	for _, e := range p.Events {
		if err == nil {
			_, err = fmt.Fprintln(out, e)
		}
	}
	return errors.Wrap(err, "write plan")
}

// ReadPlan reads the text form of a plan. Empty lines and lines that begin with # are
// skipped.
func ReadPlan(in io.Reader) (Plan, error) {
	var p Plan
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := p.readLine(line); err != nil {
			return p, errors.Wrapf(err, "plan line %d", number)
		}
	}
	if p.Daemons < 1 || p.Keyed < 1 || p.Plain < 1 || p.Daemons > maxProcesses {
		return p, errors.Errorf("plan: want a line \"fleet seed=N daemons=N keyed=N plain=N\" with at most %d daemons", maxProcesses)
	}
	for _, e := range p.Events {
		if !p.hasTarget(e) {
			return p, errors.Errorf("plan: no target %q for %q", e.Target, e.Kind)
		}
	}
	return p, errors.Wrap(lines.Err(), "read plan")
}

func (p *Plan) readLine(line string) error {
	if strings.HasPrefix(line, "fleet ") {
		_, err := fmt.Sscanf(line, "fleet seed=%d daemons=%d keyed=%d plain=%d", &p.Seed, &p.Daemons, &p.Keyed, &p.Plain)
		return err
	}
	fields := strings.Fields(line)
	if len(fields) < 3 {
		return errors.New("want: AT FOR KIND [TARGET]")
	}
	var e Event
	var err error
	if e.At, err = time.ParseDuration(fields[0]); err != nil {
		return err
	}
	if e.For, err = time.ParseDuration(fields[1]); err != nil {
		return err
	}
	if e.Kind = Kind(fields[2]); kinds[e.Kind].begin == nil {
		return errors.Errorf("unknown kind %q", e.Kind)
	}
	e.Target = strings.Join(fields[3:], " ")
	p.Events = append(p.Events, e)
	return nil
}

func (p Plan) hasTarget(e Event) bool {
	class := kinds[e.Kind].class
	if class == classDaemon && e.Target == keeperTarget {
		return true
	}
	for i := range p.targets(class) {
		if class.target(i) == e.Target {
			return true
		}
	}
	return false
}

// Without returns the plan without its events from (included) to (excluded).
func (p Plan) Without(from, to int) Plan {
	p.Events = append(append([]Event(nil), p.Events[:from]...), p.Events[to:]...)
	return p
}
