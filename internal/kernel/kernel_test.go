package kernel_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/kernel"
)

// callLog records the calls of the services' methods in order.
type callLog struct{ calls []string }

type fakeService struct {
	name     kernel.Name
	after    []kernel.Name
	startErr error // of Start
	readyErr error
	log      *callLog
}

func (s *fakeService) Name() kernel.Name    { return s.name }
func (s *fakeService) After() []kernel.Name { return s.after }
func (s *fakeService) Ready() error         { return s.readyErr }
func (s *fakeService) Start(context.Context) error {
	s.log.calls = append(s.log.calls, "start "+string(s.name))
	return s.startErr
}

func (s *fakeService) Stop(context.Context) error {
	s.log.calls = append(s.log.calls, "stop "+string(s.name))
	return nil
}

type (
	table   struct{ fakeService }
	routing struct{ fakeService }
)

func build(t *testing.T, log *callLog, routingStartErr error) (*kernel.Kernel, error) {
	k := kernel.New(zap.NewNop())
	must.NoError(t, kernel.Add[*routing](k, func(*table) *routing {
		return &routing{fakeService{name: "routing", after: []kernel.Name{"table"}, startErr: routingStartErr, log: log}}
	}))
	must.NoError(t, kernel.Add[*table](k, func() *table { return &table{fakeService{name: "table", log: log}} }))
	return k, k.Build()
}

func TestServicesStartInDependencyOrderAndStopInReverse(t *testing.T) {
	log := &callLog{}
	k, err := build(t, log, nil)
	must.NoError(t, err)
	must.NoError(t, k.Start(context.Background()))
	must.NoError(t, k.Stop(context.Background()))
	must.Eq(t, []string{"start table", "start routing", "stop routing", "stop table"}, log.calls)
}

func (t *table) Drain(context.Context) error {
	t.log.calls = append(t.log.calls, "drain table")
	return nil
}

func TestWorkIsDrainedWhileAllServicesRun(t *testing.T) {
	log := &callLog{}
	k, err := build(t, log, nil)
	must.NoError(t, err)
	must.NoError(t, k.Start(context.Background()))
	k.BeginShutdown()
	must.False(t, k.Readiness()[2].Ready)
	must.NoError(t, k.Drain(context.Background()))
	must.NoError(t, k.Stop(context.Background()))
	must.Eq(t, []string{"start table", "start routing", "begin shutdown of routing", "drain table", "stop routing", "stop table"}, log.calls)
}

func (r *routing) BeginShutdown() {
	r.log.calls = append(r.log.calls, "begin shutdown of routing")
}

// A service that drains slowly must not keep the others from learning of the shutdown.
func TestServicesLearnOfShutdownBeforeAnyDrains(t *testing.T) {
	log := &callLog{}
	k, err := build(t, log, nil)
	must.NoError(t, err)
	must.NoError(t, k.Start(context.Background()))
	k.BeginShutdown()
	k.BeginShutdown()
	must.NoError(t, k.Drain(context.Background()))
	must.Eq(t, []string{"start table", "start routing", "begin shutdown of routing", "drain table"}, log.calls)
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	log := &callLog{}
	k, err := build(t, log, errors.New("port taken"))
	must.NoError(t, err)
	must.ErrorContains(t, k.Start(context.Background()), "start routing: port taken")
	must.Eq(t, []string{"start table", "start routing", "stop table"}, log.calls)
}

func TestServicesAreFoundByNameAndReportReadiness(t *testing.T) {
	k, err := build(t, &callLog{}, nil)
	must.NoError(t, err)
	found, ok := k.Find("routing")
	must.True(t, ok)
	_, ok = k.Find("nothing")
	must.False(t, ok)

	notStarted := kernel.ErrNotStarted.Error()
	must.Eq(t, []kernel.Readiness{
		{Service: "table", Reason: notStarted},
		{Service: "routing", Reason: notStarted},
	}, k.Readiness())

	must.NoError(t, k.Start(context.Background()))
	found.(*routing).readyErr = errors.New("no assignment yet")
	must.Eq(t, []kernel.Readiness{
		{Service: "table", Ready: true},
		{Service: "routing", Reason: "no assignment yet"},
	}, k.Readiness())
}

func TestMissingDependencyIsAnError(t *testing.T) {
	k := kernel.New(zap.NewNop())
	must.NoError(t, kernel.Add[*routing](k, func() *routing {
		return &routing{fakeService{name: "routing", after: []kernel.Name{"table"}, log: &callLog{}}}
	}))
	must.ErrorContains(t, k.Build(), "missing or cyclic service dependency: ordered 0 of 1 services")
}
