// Package spread keeps small versioned items the same on all daemons. A change
// is pushed to a few random peers at once, and each daemon compares with one
// random peer per period to repair what was missed. Nothing is agreed here:
// an item's version is given by who may write it, and the highest one wins.
package spread
