// Package reason defines the errors with which requests are refused, retried or
// fail: their codes, their JSON form for callers, and their outcome, which says
// whether the request ran.
package reason
