// Package coordinator computes and publishes the assignment of each pool. One
// daemon at a time, the coordinator of the pool, holds the pool's control lease
// in the platform's table. It reads the settings and the instance list, judges
// the servers by the evidence that dispatchers report, and writes each new
// assignment to the table under the term of its lease.
//
// Every daemon runs a candidate for each pool. The candidate that acquires the
// lease runs a controller until the lease is lost or released.
//
// Functions that are marked as running on the control goroutine may use the
// state that belongs to it; see package control.
package coordinator
