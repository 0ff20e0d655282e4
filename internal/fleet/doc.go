// Package fleet runs a stand-in platform, stand-in backend servers and any number of
// dispatching daemons in one process over loopback, for experiments and tests.
package fleet
