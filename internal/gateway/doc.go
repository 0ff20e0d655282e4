// Package gateway accepts requests from callers and proxies each one directly to
// a backend server; the servers check the ownership of keys themselves. A request
// that may run at most once is sent again only if it is certain that it did not
// run, and a refusal states "not run" only in that case.
package gateway
