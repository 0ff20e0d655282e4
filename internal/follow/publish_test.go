package follow

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Several goroutines bring the copy of the registrations up to date: polls, reads for the
// keeper, polls of peers. Of two updates at a time the earlier could reach the catalog last:
// a server that had said that it leaves got requests until its next report.
func TestConcurrentUpdatesReachTheCatalogInOrder(t *testing.T) {
	const rounds, writers = 10000, 8
	r := newRegistry(t)
	for round := range rounds {
		base := platform.Revision(1 + round*writers)
		var done sync.WaitGroup
		start := make(chan struct{})
		for i := range writers {
			done.Add(1)
			position := era(1, base+platform.Revision(i))
			last := i == writers-1
			go func() {
				defer done.Done()
				<-start
				r.follower.applyUpdate(platform.Servers, update{Position: position, Records: []wireRecord{
					at(position, "s1", catalog.Server{StartedMS: 5, Sequence: uint64(position.Revision), Leaving: last}),
				}})
			}()
		}
		close(start)
		done.Wait()
		must.NoError(t, r.loop.Call(t.Context(), func() {}))
		must.True(t, r.server("s1").Leaving, must.Sprintf("round %d", round))
	}
}
