package callwatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/callwatch"
)

// A call that begins after the others were cancelled must not outlive them.
func TestCancelAllCancelsCallsInProgressAndLaterOnes(t *testing.T) {
	cause := errors.New("the daemon ends")
	w := callwatch.New()
	add := func() context.Context {
		ctx, cancel := context.WithCancelCause(context.Background())
		w.Add(&callwatch.Call{Deadline: time.Now().Add(time.Minute), Cancel: cancel})
		return ctx
	}
	earlier := add()
	must.NoError(t, earlier.Err())
	w.CancelAll(cause)
	must.ErrorIs(t, context.Cause(earlier), cause)
	must.ErrorIs(t, context.Cause(add()), cause)
}
