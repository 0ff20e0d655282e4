// Package dispatcher forwards requests to the backend servers for which this
// daemon holds a permit, that is, the time-limited right to send to a server.
//
// Requests come from entries: the parts of the daemons that accept requests from
// callers and look up the owning server. For each server the dispatcher has a
// number of slots, one for each request in progress, a queue for requests that
// wait for a slot, and a connection pool. It probes servers that don't respond and
// reports their health, load and crashes to the control side of the daemon.
package dispatcher
