// Package httplink exchanges one HTTP request at a time over pooled
// connections. It says for each failure at which stage it arose and whether a
// byte of the request may have reached the peer, never resends on its own, and
// reuses a connection only after a whole answer.
package httplink
