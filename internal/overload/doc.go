// Package overload answers the load pattern in which callers send a service more requests
// than its servers run, and requests of all ranks are turned away alike. Each daemon
// learns from the requests that found all servers full how many requests it can have in
// progress at a service. Beyond that number requests wait in the order of their ranks, and
// are refused at once when too many more urgent ones wait. There is no limit while
// requests are not turned away.
package overload
