package gateway

import (
	"context"
	"time"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/reason"
)

const (
	roomWaitDivisor = 3                     // a request waits for a server with room for 1/roomWaitDivisor of its remaining time
	roomCheckPeriod = 10 * time.Millisecond // between two looks for a server with room
	maxRoomWaiters  = 64                    // requests that wait for room at a time; further ones are refused at once
)

// chooseServer reserves a server for a request that any server of the service may run.
// While all servers are full, and would leave the request unanswered, it waits for room.
func (c *call) chooseServer() (*backends.Reservation, *reason.Error) {
	reserved, full := c.reserveServer()
	if full {
		reserved, full = c.awaitRoom()
	}
	if reserved != nil {
		return reserved, nil
	}
	if cause := context.Cause(c.context); cause != nil {
		return nil, c.contextRefusal(cause)
	}
	if full {
		c.foundFull = true
		return nil, reason.New(reason.QueueFull, "choose", string(c.service), "all servers are full")
	}
	if held := c.gateway.backends.HeldService(c.allowedServers(), c.service, c.headers.ID, time.Now()); held != nil {
		return nil, c.heldRefusal("choose", held)
	}
	return nil, reason.New(reason.ServerUnreachable, "choose", string(c.service), "no server is left that was not tried")
}

// reserveServer reserves a server that was not tried.
func (c *call) reserveServer() (reserved *backends.Reservation, full bool) {
	return c.gateway.backends.Reserve(c.gateway.catalog.Load(), &backends.Criteria{
		Service:          c.service,
		Rank:             c.route.Rank,
		Route:            c.route.Name,
		Tried:            c.tried,
		AllowedRegions:   c.route.AllowedRegions,
		Bytes:            c.body.length,
		LatencyObjective: c.route.LatencyObjective,
	})
}

// awaitRoom waits until a server has room, for up to 1/roomWaitDivisor of the remaining
// time.
func (c *call) awaitRoom() (reserved *backends.Reservation, full bool) {
	c.gateway.meters.roomWaits.Inc()
	waiters := &c.gateway.roomWaiters
	defer waiters.Add(-1)
	if waiters.Add(1) > maxRoomWaiters {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(c.context, time.Until(c.deadline)/roomWaitDivisor)
	defer cancel()
	check := time.NewTicker(roomCheckPeriod)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, true
		case <-check.C:
		}
		if reserved, full = c.reserveServer(); !full {
			return reserved, false
		}
	}
}
