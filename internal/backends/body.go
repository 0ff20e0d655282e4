package backends

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

// minBodyBuffer is the first buffer for a response body of unknown length, in bytes.
const minBodyBuffer = 4 << 10

// HasRoomFor reports whether the memory has room for a response of a service's usual size,
// and for the first buffer of one of unknown length beside as much for others.
// A request for which it has none must not be sent: its response could not be read in time.
func (b *Backends) HasRoomFor(service model.PoolName) bool {
	free := b.memory.Limit() - b.memory.Used()
	return free >= max(int64(b.stats.averageResponseBytes(service)), 2*minBodyBuffer)
}

// readBody reads a response body of at most maxResponseBytes. memory holds its bytes, for
// which there may be a wait until ctx ends. If it fails, they are given back.
func readBody(ctx context.Context, exchange *httplink.Exchange, memory *bytebudget.Holder) ([]byte, error) {
	body, err := readHeldBody(ctx, exchange, memory)
	if err != nil {
		memory.GiveAll(bytebudget.Answer)
	}
	return body, err
}

func readHeldBody(ctx context.Context, exchange *httplink.Exchange, memory *bytebudget.Holder) ([]byte, error) {
	length := exchange.Length()
	switch {
	case length > maxResponseBytes:
		return nil, errResponseTooLarge
	case length < 0:
		return readUnknownLength(ctx, exchange, memory)
	case !memory.Await(ctx, bytebudget.Answer, int64(length)):
		return nil, ErrNoMemory
	}
	body := make([]byte, length)
	_, err := io.ReadFull(exchange, body)
	return body, errors.Wrap(err, "read response body")
}

// readUnknownLength reads a response body to its end. The buffer doubles while the body
// grows; while it is copied, both buffers count. It may have no end, and so gets no more
// memory than is left for others.
func readUnknownLength(ctx context.Context, exchange *httplink.Exchange, memory *bytebudget.Holder) ([]byte, error) {
	var body []byte
	for {
		if len(body) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		if len(body) == cap(body) {
			old := cap(body)
			size := max(2*old, minBodyBuffer)
			if !memory.AwaitShare(ctx, bytebudget.Answer, int64(size)) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
			memory.Give(bytebudget.Answer, int64(old))
		}
		read, err := exchange.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response body")
		}
	}
}
