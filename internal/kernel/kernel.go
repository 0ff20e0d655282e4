// Package kernel manages the life cycle of the daemon's services. A dig container
// constructs the services, and they start in the order of their dependencies. At
// shutdown, work in progress is finished while all services run; then they stop in
// the reverse order.
package kernel

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"
)

// ErrNotStarted reports that a service has not started yet or was stopped.
var ErrNotStarted = errors.New("kernel: the service is not started")

// Name identifies a service.
type Name string

// Service is a part of the daemon that is started and stopped.
type Service interface {
	// Name returns the service's name, which is unique in the kernel.
	Name() Name
	// After returns the names of the services that must start before this one.
	After() []Name
	// Start starts the service and returns while it runs in its own goroutines.
	Start(ctx context.Context) error
	// Ready returns nil if the service can do its work, or else the reason why not.
	Ready() error
	// Stop stops the service. Until ctx ends, work in progress may finish.
	Stop(ctx context.Context) error
}

// Drainer is a service with work in progress that must be finished while the
// other services still run.
type Drainer interface {
	Service
	// Drain waits until the work in progress has finished or ctx ends. Stop is called
	// after it.
	Drain(ctx context.Context) error
}

// ShutdownObserver is a service that has to know of the shutdown at once, before the
// services drain one after another.
type ShutdownObserver interface {
	Service
	// BeginShutdown is called once, before any Drain. It does not block.
	BeginShutdown()
}

// Kernel holds the container and the services in the order of their start.
type Kernel struct {
	container *dig.Container
	log       *zap.Logger
	services  []Service
	// started is the number of services, from the first on, that have started and
	// were not stopped. It is atomic because other goroutines call Readiness during
	// the start and the stop.
	started      atomic.Int32
	shuttingDown atomic.Bool
	stopping     sync.Mutex // held by Stop
}

// New returns an empty kernel.
func New(log *zap.Logger) *Kernel {
	return &Kernel{container: dig.New(), log: log}
}

// Provide registers a constructor of a value that is not a service.
func (k *Kernel) Provide(constructor any) error {
	return errors.Wrap(k.container.Provide(constructor), "kernel: provide")
}

// Add registers the constructor of a service of type T.
func Add[T Service](k *Kernel, constructor any) error {
	if err := k.Provide(constructor); err != nil {
		return err
	}
	asService := func(t T) Service { return t }
	return errors.Wrap(k.container.Provide(asService, dig.Group("services")), "kernel: add")
}

// serviceSet receives all services from the container.
type serviceSet struct {
	dig.In
	Services []Service `group:"services"`
}

// Build constructs all services and sorts them by their dependencies. It fails on
// dependencies that are missing or form a cycle.
func (k *Kernel) Build() error {
	err := k.container.Invoke(func(set serviceSet) { k.services = set.Services })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "kernel: build")
	}
	return k.order()
}

// order sorts the services topologically, and by name where the dependencies leave
// the order open.
func (k *Kernel) order() error {
	sort.Slice(k.services, func(i, j int) bool { return k.services[i].Name() < k.services[j].Name() })
	placed := map[Name]bool{}
	var ordered []Service
	for len(ordered) < len(k.services) {
		next := nextService(k.services, placed)
		if next == nil {
			return errors.Errorf("kernel: missing or cyclic service dependency: ordered %d of %d services", len(ordered), len(k.services))
		}
		placed[next.Name()] = true
		ordered = append(ordered, next)
	}
	k.services = ordered
	return nil
}

// nextService returns the first service that is not placed and whose dependencies
// all are, or nil if there is none.
func nextService(services []Service, placed map[Name]bool) Service {
	for _, s := range services {
		if !placed[s.Name()] && allPlaced(s.After(), placed) {
			return s
		}
	}
	return nil
}

func allPlaced(names []Name, placed map[Name]bool) bool {
	for _, name := range names {
		if !placed[name] {
			return false
		}
	}
	return true
}

// Find returns the service with the name and whether there is one.
func (k *Kernel) Find(name Name) (Service, bool) {
	for _, s := range k.services {
		if s.Name() == name {
			return s, true
		}
	}
	return nil, false
}

// Invoke calls f with values from the container.
func (k *Kernel) Invoke(f any) error {
	return errors.Wrap(k.container.Invoke(f), "kernel: invoke")
}

// Start starts the services in order. If one fails, the started ones are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.services {
		if err := s.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			k.log.Error("service failed to start; start of the daemon aborted", zap.String("step", string(s.Name())), zap.Error(err), zap.NamedError("stop", stopErr))
			return errors.Wrapf(err, "start %s", s.Name())
		}
		k.started.Add(1)
	}
	return nil
}

// Readiness is the readiness of one service. Reason is empty if it is ready.
type Readiness struct {
	Service Name   `json:"service"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"why,omitempty"`
}

// Readiness returns the readiness of each service in the order of their start, and
// during shutdown a last entry, not ready, for the daemon as a whole.
func (k *Kernel) Readiness() []Readiness {
	list := make([]Readiness, 0, len(k.services))
	for i, s := range k.services {
		state := Readiness{Service: s.Name(), Ready: true}
		if err := k.ready(i); err != nil {
			state.Ready = false
			state.Reason = err.Error()
		}
		list = append(list, state)
	}
	if k.shuttingDown.Load() {
		list = append(list, Readiness{Service: daemonName, Reason: "shutting down"})
	}
	return list
}

// ready returns the readiness of the service at a position. Ready is not called on
// a service that has not started, because its initialization may be in progress.
func (k *Kernel) ready(position int) error {
	if position >= int(k.started.Load()) {
		return ErrNotStarted
	}
	return k.services[position].Ready()
}

// daemonName is the name of the entry for the whole daemon in the readiness.
const daemonName Name = "daemon"

// BeginShutdown makes the daemon report that it is not ready, so that it gets no
// new work, and tells the started services that are ShutdownObservers.
func (k *Kernel) BeginShutdown() {
	if k.shuttingDown.Swap(true) {
		return
	}
	for _, s := range k.services[:k.started.Load()] {
		if observer, ok := s.(ShutdownObserver); ok {
			observer.BeginShutdown()
		}
	}
}

// Drain drains the services that are Drainers, in the reverse order of the start,
// while all services run. It returns the first error.
func (k *Kernel) Drain(ctx context.Context) error {
	var first error
	for i := int(k.started.Load()) - 1; i >= 0; i-- {
		drainer, ok := k.services[i].(Drainer)
		if !ok {
			continue
		}
		if err := drainer.Drain(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "drain %s", drainer.Name())
		}
	}
	return first
}

// Stop stops the started services in the reverse order of the start and returns the
// first error. A second call waits for the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	k.stopping.Lock()
	defer k.stopping.Unlock()
	var first error
	for i := int(k.started.Load()) - 1; i >= 0; i-- {
		s := k.services[i]
		k.started.Store(int32(i))
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", s.Name())
		}
	}
	return first
}
