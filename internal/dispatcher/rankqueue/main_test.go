package rankqueue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run is the same.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
