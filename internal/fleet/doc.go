// Package fleet runs a stand-in platform, stand-in servers and any number of
// daemons in one process over loopback, for experiments and tests.
package fleet
