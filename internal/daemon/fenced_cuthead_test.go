package daemon_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// longestHead is more than the bytes of a head that the stand-in cuts.
const longestHead = 160

// Callers of other systems got a success with an empty or short body, framed as whole, from a
// server that stopped in the middle of its answer's head and closed the connection.
func TestAnswerCutInItsHeadIsNoSuccess(t *testing.T) {
	for _, framing := range fenced.Framings() {
		t.Run(string(framing), func(t *testing.T) {
			c := newCluster(t, 1, 1, 1)
			server, ran := c.plainServers()[0], 0
			for count := 1; count <= longestHead; count++ {
				server.SetFaults(fenced.Faults{CutHead: count, HeadFraming: framing})
				seal := c.send(c.daemons[0], "POST", "/seal/x", -1, "order")
				ran += c.runs(seal.id)
				must.Eq(t, 502, seal.status, must.Sprintf("%d bytes of the head: %s", count, seal.body))
				must.Eq(t, 1, c.runs(seal.id))
			}
			must.Eq(t, longestHead, ran)
		})
	}
}
