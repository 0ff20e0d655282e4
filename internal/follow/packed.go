package follow

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// Large values, such as configurations, are sent to many daemons at once and fill the sender's
// link. They are sent compressed to daemons that say that they read that.
const (
	minPackedBytes   = 2 << 10  // smaller values are sent as they are
	maxUnpackedBytes = 16 << 20 // of a value that a daemon sends
	maxPackedValues  = 64       // kept, so that a value is not compressed for each daemon
)

// packer compresses values and keeps the results for the other daemons that ask for them. It is
// safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	values map[string]packedValue // by name of the record
}

// packedValue is the compressed value of a record that was last changed at a position.
type packedValue struct {
	position platform.Position
	value    []byte // nil if it is not smaller
}

// pack replaces the large values of an update by compressed ones.
func (p *packer) pack(u *update) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range u.Records {
		record := &u.Records[i]
		if len(record.Value) < minPackedBytes {
			continue
		}
		known, ok := p.values[record.Name]
		if !ok || known.position != record.Position {
			value, err := compress(record.Value)
			if err != nil {
				return err
			}
			known = packedValue{position: record.Position, value: value}
			p.keep(record.Name, known)
		}
		if known.value != nil {
			u.setPacked(record.Name, known.value)
			record.Value = nil
		}
	}
	return nil
}

func (u *update) setPacked(name string, value []byte) {
	if u.Packed == nil {
		u.Packed = map[string][]byte{}
	}
	u.Packed[name] = value
}

// keep keeps a value, and forgets all others when there are too many. The caller holds p.mu.
func (p *packer) keep(name string, value packedValue) {
	if p.values == nil || len(p.values) >= maxPackedValues {
		p.values = map[string]packedValue{}
	}
	p.values[name] = value
}

// compress returns the compressed value, or nil if it is not smaller.
func compress(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress record")
	}
	if compressed.Len() >= len(value) {
		return nil, nil
	}
	return compressed.Bytes(), nil
}

// unpack replaces the compressed values of an update by the values.
func (u *update) unpack() error {
	for i := range u.Records {
		record := &u.Records[i]
		packed := u.Packed[record.Name]
		if packed == nil {
			continue
		}
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
		if err != nil {
			return errors.Wrapf(err, "record %s: decompress", record.Name)
		}
		if len(value) > maxUnpackedBytes {
			return errors.Errorf("record %s exceeds %d bytes", record.Name, maxUnpackedBytes)
		}
		record.Value = value
	}
	u.Packed = nil
	return nil
}
