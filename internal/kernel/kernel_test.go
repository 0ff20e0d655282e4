package kernel_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/kernel"
)

// record lists what happened to services, in order.
type record struct{ steps []string }

type base struct {
	name  kernel.Name
	after []kernel.Name
	fail  error // of Start
	ready error
	log   *record
}

func (b *base) Name() kernel.Name    { return b.name }
func (b *base) After() []kernel.Name { return b.after }
func (b *base) Ready() error         { return b.ready }
func (b *base) Start(context.Context) error {
	b.log.steps = append(b.log.steps, "start "+string(b.name))
	return b.fail
}

func (b *base) Stop(context.Context) error {
	b.log.steps = append(b.log.steps, "stop "+string(b.name))
	return nil
}

type (
	table   struct{ base }
	routing struct{ base }
)

func build(t *testing.T, log *record, routingFails error) (*kernel.Kernel, error) {
	k := kernel.New(zap.NewNop())
	must.NoError(t, kernel.Add[*routing](k, func(*table) *routing {
		return &routing{base{name: "routing", after: []kernel.Name{"table"}, fail: routingFails, log: log}}
	}))
	must.NoError(t, kernel.Add[*table](k, func() *table { return &table{base{name: "table", log: log}} }))
	return k, k.Build()
}

func TestServicesStartInOrderOfNeedAndStopInReverse(t *testing.T) {
	log := &record{}
	k, err := build(t, log, nil)
	must.NoError(t, err)
	must.NoError(t, k.Start(context.Background()))
	must.NoError(t, k.Stop(context.Background()))
	must.Eq(t, []string{"start table", "start routing", "stop routing", "stop table"}, log.steps)
}

func (t *table) Drain(context.Context) error {
	t.log.steps = append(t.log.steps, "drain table")
	return nil
}

func TestWorkIsDrainedWhileAllServicesRun(t *testing.T) {
	log := &record{}
	k, err := build(t, log, nil)
	must.NoError(t, err)
	must.NoError(t, k.Start(context.Background()))
	k.BeginShutdown()
	must.False(t, k.Readiness()[2].Ready)
	must.NoError(t, k.Drain(context.Background()))
	must.NoError(t, k.Stop(context.Background()))
	must.Eq(t, []string{"start table", "start routing", "drain table", "stop routing", "stop table"}, log.steps)
}

func TestFailedStartStopsWhatHadStarted(t *testing.T) {
	log := &record{}
	k, err := build(t, log, errors.New("port taken"))
	must.NoError(t, err)
	must.ErrorContains(t, k.Start(context.Background()), "start routing: port taken")
	must.Eq(t, []string{"start table", "start routing", "stop table"}, log.steps)
}

func TestServicesAreFoundByNameAndTellTheirReadiness(t *testing.T) {
	k, err := build(t, &record{}, nil)
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
	found.(*routing).ready = errors.New("no assignment yet")
	must.Eq(t, []kernel.Readiness{
		{Service: "table", Ready: true},
		{Service: "routing", Reason: "no assignment yet"},
	}, k.Readiness())
}

func TestMissingNeedIsAnError(t *testing.T) {
	k := kernel.New(zap.NewNop())
	must.NoError(t, kernel.Add[*routing](k, func() *routing {
		return &routing{base{name: "routing", after: []kernel.Name{"table"}, log: &record{}}}
	}))
	must.ErrorContains(t, k.Build(), "one that is missing")
}
