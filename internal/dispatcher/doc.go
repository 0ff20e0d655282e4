// Package dispatcher sends work to the backend servers for which this daemon
// holds a permit. It keeps each server's slots, rank queue and connections, and
// reports what it sees of the server to control.
package dispatcher
