// Package scenarios contains scripted end-to-end tests. Each .txtar file is a
// testscript that runs chicorylugd daemons as separate processes against a
// stand-in platform and stand-in backend servers, which run in a process of their
// own. It injects faults, sends requests and asserts on what callers saw and on the
// runs that the stand-in servers recorded. A run is one execution of a request by a
// server; an entry is a daemon to which callers send requests.
//
// The scenario commands are implemented in the cmd_*_test.go files. The package has
// no code outside its tests.
package scenarios
