package scenarios

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	commands["same"] = cmdSame
	commands["newer"] = cmdNewer
}

// cmdSame asserts that two words are the same, or with "!" that they differ:
//
//	same A B
func cmdSame(_ *world, ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: same A B")
	}
	if (args[0] == args[1]) == neg {
		ts.Fatalf("found %q and %q", args[0], args[1])
	}
}

// cmdNewer asserts that the first epoch is higher than the second, or with "!" that it is not:
//
//	newer EPOCH EPOCH
func cmdNewer(_ *world, ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: newer EPOCH EPOCH")
	}
	first, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	second, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	if (first > second) == neg {
		ts.Fatalf("found epochs %d and %d", first, second)
	}
}
