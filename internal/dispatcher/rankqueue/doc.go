// Package rankqueue schedules the requests that wait for one backend server.
//
// A slot is the right to have one request in progress at the server. A rank is a
// priority class; rank 0 is the most urgent. Slots go to the most urgent rank
// with waiting requests, except that each rank has a floor: a guaranteed minimum
// share of the slots, averaged over a short period, while requests of the rank wait.
//
// Floors are kept by credits. A rank's credit is the slot time by which the rank
// is behind its floor. It grows by the floor's share of the slots while requests
// of the rank wait and shrinks by the slot time that the rank uses. A waiting
// rank with positive credit is served before a more urgent rank that has less
// credit. The unused part of a floor is available to the other ranks.
//
// The package has no clock, goroutines or locks: callers pass the time in and
// serialize the calls.
package rankqueue
