// Package attemptlimit bounds how long one attempt of an idempotent request may take at
// a server that gives no sign of life, if another server may run the request. Some servers never answer a request that they
// cannot queue, and a connection may fall silent without being closed: time is then the
// only sign. The limit follows the times that the requests of a service took, so that a
// slow service is not cut off, and it leaves the time for another attempt.
package attemptlimit
