// Package experiment implements the measurements of the command "chicorylug experiment".
// Each is a bounded run with a seed, either on loopback with real daemons and simulated
// backend servers and platform, or of the placement decision alone in a simulation.
//
// Load is open loop: requests start at their scheduled times whether or not earlier ones
// were answered, and a latency counts from the scheduled time, so that delays of the
// sender are included.
//
// An entry is the part of a daemon that accepts requests from callers. A dispatcher is
// the part that queues requests for a backend server and sends them to it. The coordinator
// of a pool is the daemon that holds the pool's lease and assigns its shards to servers.
package experiment
