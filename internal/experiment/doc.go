// Package experiment measures the system: bounded, seeded runs on loopback with
// real daemons and stand-ins, or of a pure decision alone. Load is open loop: a
// request's latency counts from the time at which it was meant to be sent.
package experiment
