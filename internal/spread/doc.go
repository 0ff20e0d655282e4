// Package spread replicates small versioned items to all daemons by gossip. A
// change is pushed to a few random peers at once, and each daemon compares its
// items with one random peer per period to repair missed pushes. The package does
// not seek agreement: the writer of an item assigns its version, and the highest
// version wins.
package spread
