// Package rankqueue decides which waiting request gets the next slot of one
// backend server: the most urgent rank first, except that each rank keeps its
// floor, a share of the slots over a short period, while it has work waiting.
//
// A rank's credit is the slot time that its floor owes it. It grows with the
// floor's share while requests of the rank wait and shrinks with the slots that
// they use. A waiting rank with credit goes first. A floor that is not used
// goes to the other ranks.
//
// The package has no clock, no goroutines and no locks.
package rankqueue
