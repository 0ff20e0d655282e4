// Package httplink sends HTTP requests over pooled connections, one request at a time
// on each connection. It reports for each failure at which stage it occurred and whether
// a byte of the request may have reached the peer, never resends a request on its own,
// and reuses a connection only after a complete response. Bytes that HTTP does not allow in
// the head of a response are no response.
package httplink
