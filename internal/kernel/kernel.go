// Package kernel is the micro-kernel of the daemon. Services are built by a dig
// container, find each other by name and start in the order of their needs. At
// the end, work in progress is finished while all of them run; then they stop in
// the reverse order.
package kernel

import (
	"context"
	"sort"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/zap"
)

// ErrNotStarted says that a service has not started yet or was stopped.
var ErrNotStarted = errors.New("kernel: the service is not started")

// Name identifies a service.
type Name string

// Service is one part of the daemon with a life of its own.
type Service interface {
	// Name identifies the service.
	Name() Name
	// After names the services that must have started before.
	After() []Name
	// Start brings the service up. It returns once the service works on its own goroutines.
	Start(ctx context.Context) error
	// Ready returns nil when the service can do its work, or why it cannot yet.
	Ready() error
	// Stop ends the service. Work in progress is finished until ctx ends.
	Stop(ctx context.Context) error
}

// Drainer is a service with work in progress that must be finished while the
// other services still run.
type Drainer interface {
	Service
	// Drain finishes the work in progress, until ctx ends. Stop follows.
	Drain(ctx context.Context) error
}

// Kernel holds the container and the services in their order.
type Kernel struct {
	container *dig.Container
	log       *zap.Logger
	services  []Service
	// started counts the services, from the first on, that have started and not
	// been stopped. Other goroutines ask for the readiness meanwhile.
	started atomic.Int32
	leaving atomic.Bool
}

// New returns an empty kernel.
func New(log *zap.Logger) *Kernel {
	return &Kernel{container: dig.New(), log: log}
}

// Provide registers a constructor of something that is not a service.
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

type serviceSet struct {
	dig.In
	Services []Service `group:"services"`
}

// Build constructs all services and orders them.
func (k *Kernel) Build() error {
	err := k.container.Invoke(func(set serviceSet) { k.services = set.Services })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "kernel: build")
	}
	return k.order()
}

// order sorts the services topologically; ties go by name.
func (k *Kernel) order() error {
	sort.Slice(k.services, func(i, j int) bool { return k.services[i].Name() < k.services[j].Name() })
	placed := map[Name]bool{}
	var ordered []Service
	for len(ordered) < len(k.services) {
		next := nextService(k.services, placed)
		if next == nil {
			return errors.Errorf("kernel: services need each other or one that is missing; ordered so far: %d", len(ordered))
		}
		placed[next.Name()] = true
		ordered = append(ordered, next)
	}
	k.services = ordered
	return nil
}

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

// Find returns the service with the name.
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

// Start starts the services in order. When one fails, those started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.services {
		if err := s.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			k.log.Error("start failed", zap.String("step", string(s.Name())), zap.Error(err), zap.NamedError("stop", stopErr))
			return errors.Wrapf(err, "start %s", s.Name())
		}
		k.started.Add(1)
	}
	return nil
}

// Readiness is the state of one service.
type Readiness struct {
	Service Name   `json:"service"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"why,omitempty"`
}

// Readiness returns the state of each service.
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
	if k.leaving.Load() {
		list = append(list, Readiness{Service: selfName, Reason: "shutting down"})
	}
	return list
}

// ready asks the service at a position. One that has not started is not asked:
// it may still be setting itself up.
func (k *Kernel) ready(position int) error {
	if position >= int(k.started.Load()) {
		return ErrNotStarted
	}
	return k.services[position].Ready()
}

// selfName stands for the daemon as a whole in its readiness.
const selfName Name = "daemon"

// BeginShutdown makes the daemon not ready, so that no new work is sent to it.
func (k *Kernel) BeginShutdown() { k.leaving.Store(true) }

// Drain finishes the work in progress, in the reverse order of the start, while
// all services run. It returns the first error.
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

// Stop stops the started services in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
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
