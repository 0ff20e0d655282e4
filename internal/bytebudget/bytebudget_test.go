package bytebudget

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	limit = 1 << 20
	step  = 4 << 10
)

// grow lets a holder grow by step until it is refused, and returns what it holds.
func grow(h *Holder) int64 {
	for h.Grow(step) {
	}
	return h.held
}

func TestSingleHolderMayUseHalf(t *testing.T) {
	must.Eq(t, limit/2, grow(New(limit).NewHolder()))
}

// Holders that grow without end, one after the other, leave room for small answers.
func TestEndlessHoldersLeaveRoom(t *testing.T) {
	b := New(limit)
	for range 7 {
		grow(b.NewHolder())
	}
	must.True(t, b.NewHolder().Grow(step/2))
}

// Whatever is held and released, the budget is not exceeded, and nothing stays in use.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(limit)
		holders := make([]*Holder, 8)
		for i := range holders {
			holders[i] = b.NewHolder()
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			if rapid.Bool().Draw(t, "release") {
				h.Release()
			} else {
				h.Grow(rapid.Int64Range(0, limit).Draw(t, "bytes"))
			}
			must.LessEq(t, limit, b.Used())
		}
		for _, h := range holders {
			h.Release()
		}
		must.Zero(t, b.Used())
	})
}
