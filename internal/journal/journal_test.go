package journal_test

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
)

func TestEventsAreBoundedAndInOrder(t *testing.T) {
	j := journal.New("d1")
	for i := range journal.EventCapacity + 3 {
		j.Add(journal.Event{Kind: journal.LeaseTaken, Subject: strconv.Itoa(i)})
	}
	all := j.Events(func(*journal.Event) bool { return true })
	must.SliceLen(t, journal.EventCapacity, all)
	must.Eq(t, "3", all[0].Subject)
	must.Eq(t, 3, j.DroppedEvents())
	must.Eq(t, model.DaemonID("d1"), all[0].Daemon)
}

func TestStepsOfARequestStayInOrder(t *testing.T) {
	j := journal.New("d1")
	for i := range 50 {
		j.Trace(journal.Step{Request: model.RequestID("r" + strconv.Itoa(i%5)), Detail: strconv.Itoa(i)})
	}
	steps := j.Steps(func(s *journal.Step) bool { return s.Request == "r2" })
	must.SliceLen(t, 10, steps)
	for i, step := range steps {
		must.Eq(t, strconv.Itoa(2+5*i), step.Detail)
	}
}

func BenchmarkTrace(b *testing.B) {
	j := journal.New("d1")
	step := journal.Step{Request: "9f1c", Pool: "drafts", Key: "order-17", Step: "dispatcher: sent", Detail: "drafts-1"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			j.Trace(step)
		}
	})
}
