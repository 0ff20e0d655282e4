// Package ownership decides which backend server owns which keys, and which
// daemons may send requests to it. It does no I/O and reads no clock: callers
// pass the time in.
//
// The keys of a keyed pool are hashed to shards, and each shard has one owning
// server. Each server has dispatchers, the daemons that may send requests to
// it. The coordinator of a pool is the daemon that holds the pool's control
// lease; it computes the next version of the pool's Assignment with Plan and
// writes it to the table, the key-value store of the platform with conditional
// writes. Each daemon keeps a Replica of the assignment and derives from it
// Permits, which expire. The Gate checks every request against the permits.
// When the coordinator cannot be reached, a daemon renews its permits by asking
// the Witnesses of a majority of the fleet for newer versions.
//
// Invariant: a shard is given to a new server only after each dispatcher of the
// old server has acknowledged that none of its requests on the shard can still
// run there, or its process has verifiably ended and the attempt timeout has
// passed, or its permit has expired by its own clock.
package ownership
