package gateway

import (
	"context"
	"io"
	"math"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/reason"
)

const (
	minBodyPart  = 4 << 10                // first part of a body of unknown length, in bytes
	maxBodyPart  = 1 << 20                // size limit of a part
	maxBodyWait  = 500 * time.Millisecond // a body waits for others to give memory back for so long at most
	smallAnswer  = 32 << 10               // answers of at most so many bytes do not give way to others
	progressStep = 16 << 10               // a body's progress is noted at least each time that so many bytes have come
)

// errNoRoom says that a body can't be held now.
var errNoRoom = errors.New("the memory for bodies is in use")

// errGaveWay says that a body had to give way to others.
var errGaveWay = errors.New("the body gave way to others: it made no progress or held the most memory")

// body is the body of a request, in parts that do not move while it grows.
type body struct {
	parts  [][]byte
	length int
}

// space returns the free space of the last part.
func (b *body) space() []byte {
	if len(b.parts) == 0 {
		return nil
	}
	last := b.parts[len(b.parts)-1]
	return last[len(last):cap(last)]
}

// add says that so many bytes were written to space.
func (b *body) add(count int) {
	last := &b.parts[len(b.parts)-1]
	*last = (*last)[:len(*last)+count]
	b.length += count
}

// nextPart returns the size of the part that is needed next. length is that of the whole
// body, or negative if it is not known.
func (b *body) nextPart(length int) int {
	size := min(max(b.length/4, minBodyPart), maxBodyPart)
	if length < 0 {
		return size
	}
	return min(max(size, 16*minBodyPart), length-b.length)
}

// attach sets the body of a request that is sent to a server.
func (b *body) attach(request *fasthttp.Request) {
	switch len(b.parts) {
	case 0:
		request.SetBodyRaw(nil)
	case 1:
		request.SetBodyRaw(b.parts[0])
	default:
		rest := net.Buffers(slices.Clone(b.parts))
		request.SetBodyStream(&rest, b.length)
	}
}

// readBody reads the whole body into memory.
func (c *call) readBody() *reason.Error {
	length := c.ctx.Request.Header.ContentLength()
	limit := c.bodyLimit()
	switch {
	case int64(length) > limit:
		return reason.New(reason.BodyTooLarge, "read body", "", "the body has %d bytes, allowed are %d", length, limit)
	case int64(length) > c.gateway.memory.MostFor(bytebudget.Body):
		return c.bodyRoomRefusal(errNoRoom)
	}
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		if small := c.ctx.Request.Body(); len(small) > 0 {
			c.body = body{parts: [][]byte{small}, length: len(small)}
		}
		return nil
	}
	_ = c.ctx.SetReadDeadline(c.deadline)
	c.conn.Enter(bytebudget.Receiving)
	defer c.conn.Enter(bytebudget.Busy)
	err := c.readParts(stream, length, limit)
	gaveWay := c.conn.Memory().Asked()
	switch {
	case gaveWay && err != nil:
		return c.bodyRoomRefusal(errGaveWay)
	case errors.Is(err, errNoRoom):
		return c.bodyRoomRefusal(err)
	case err != nil:
		return c.bodyReadError(err)
	case int64(c.body.length) > limit:
		return reason.New(reason.BodyTooLarge, "read body", "", "the body has more than %d bytes", limit)
	case length >= 0 && c.body.length < length:
		return c.bodyReadError(io.ErrUnexpectedEOF)
	}
	return nil
}

// readParts reads a body to its end, or to one byte beyond the limit.
func (c *call) readParts(stream io.Reader, length int, limit int64) error {
	noted := 0
	for int64(c.body.length) <= limit && c.body.length != length {
		if len(c.body.space()) == 0 {
			if err := c.addPart(c.body.nextPart(length)); err != nil {
				return err
			}
			noted = c.body.length
		}
		count, err := stream.Read(c.body.space())
		c.body.add(count)
		if c.body.length-noted >= progressStep {
			c.conn.Memory().Progress(time.Now())
			noted = c.body.length
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// addPart adds a part to the body when there is memory for it.
func (c *call) addPart(size int) error {
	c.gateway.connections.MakeRoomForBody(int64(size))
	memory := c.conn.Memory()
	if verdict, _ := memory.Take(bytebudget.Body, int64(size), time.Now()); verdict != bytebudget.Granted {
		wait, cancel := context.WithDeadline(context.Background(), c.deadline)
		defer cancel()
		if !memory.AwaitBriefly(wait, bytebudget.Body, int64(size), maxBodyWait) {
			return errNoRoom
		}
	}
	memory.Progress(time.Now())
	c.body.parts = append(c.body.parts, make([]byte, 0, size))
	return nil
}

// releaseBody gives the memory of the body back.
func (c *call) releaseBody() {
	c.body = body{}
	c.conn.Memory().GiveAll(bytebudget.Body)
}

// beginDelivery begins to watch whether the caller takes a large answer.
func (c *call) beginDelivery() {
	if len(c.ctx.Response.Body()) > smallAnswer {
		c.conn.Enter(bytebudget.Delivering)
	}
}

// bodyLimit returns the operators' limit for bodies, in bytes.
func (c *call) bodyLimit() int64 {
	if limit := c.gateway.catalog.Load().Configuration.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return math.MaxInt64
}

// bodyRoomRefusal returns the refusal for a body that can't be held.
func (c *call) bodyRoomRefusal(cause error) *reason.Error {
	c.ctx.SetConnectionClose()
	return reason.New(reason.EntryFull, "read body", "", "%v; %d bytes of it had come", cause, c.body.length)
}

// bodyReadError returns the refusal for a body that ended early or did not arrive
// before the deadline.
func (c *call) bodyReadError(err error) *reason.Error {
	c.ctx.SetConnectionClose()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return reason.New(reason.DeadlinePassed, "read body", "", "the body did not come in time")
	}
	return reason.New(reason.ShortUpload, "read body", "", "%v", err)
}
