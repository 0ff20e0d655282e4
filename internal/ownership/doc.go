// Package ownership holds the decisions about which server owns which keys. It
// does no I/O and has no clock of its own: callers pass the time in.
//
// Invariant: a shard is given to a new server only after every dispatcher that
// may still send to the old one has acknowledged that it no longer does, has
// verifiably ended, or has outlived its permission by its own clock.
package ownership
