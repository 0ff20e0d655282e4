package httplink

import "slices"

// Carriers are the connections that carried the sends of one request. A peer may answer a
// request twice, and the second answer then comes where that to the next request on the
// connection is expected. If the next one were the same request, sent again, the two answers
// would bear the same ID: it is sent on a connection that did not carry it before. The zero
// value is ready for use by one goroutine.
type Carriers struct {
	conns []*conn
}

// include reports whether a connection carried the request. It is safe to call on nil.
func (s *Carriers) include(c *conn) bool { return s != nil && slices.Contains(s.conns, c) }

// add records that a connection carries the request. It is safe to call on nil.
func (s *Carriers) add(c *conn) {
	if s != nil {
		s.conns = append(s.conns, c)
	}
}
