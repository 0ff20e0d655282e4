package serverspeed

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Ages and bounds of figures that daemons tell each other.
const (
	peerMemory = 8 * time.Second  // time constant with which a figure loses weight
	maxPeerAge = 30 * time.Second // age from which on it does not count
	maxWeight  = 30.0             // samples that a figure counts at most

	maxTallies = 32 // in one message
	maxFigures = 64 // in one message
)

// Units of the encoded forms.
const (
	logUnit    = maxLogRatio / math.MaxInt8
	weightUnit = maxWeight / math.MaxUint8
	ageUnit    = maxPeerAge / math.MaxUint8

	tallyBytes  = 6
	figureBytes = 7
)

// Key identifies a server process in messages.
type Key uint32

// KeyOf returns the key of a server process, by its id and its start in Unix milliseconds.
func KeyOf(id string, startedMS int64) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	var start [8]byte
	binary.BigEndian.PutUint64(start[:], uint64(startedMS))
	_, _ = h.Write(start[:])
	return Key(h.Sum32())
}

// Figure is what is known of a server's lasting speed: the logarithm of the time that work
// takes relative to the service, the weight of the samples behind it, and its time.
type Figure struct {
	Log    float64
	Weight float64
	At     time.Time
}

// weightAt returns the weight of a figure as of now.
func (f Figure) weightAt(now time.Time) float64 {
	age := max(now.Sub(f.At), 0)
	if f.Weight <= 0 || age >= maxPeerAge {
		return 0
	}
	return f.Weight * math.Exp(-age.Seconds()/peerMemory.Seconds())
}

// Tally is the mean of a daemon's samples of one server since its last message.
type Tally struct {
	Log   float64
	Count int
}

// encodeTallies returns the encoded form of some tallies, at most maxTallies, and takes
// these out of the map.
func encodeTallies(tallies map[Key]Tally) []byte {
	if len(tallies) == 0 {
		return nil
	}
	encoded := make([]byte, 0, tallyBytes*min(len(tallies), maxTallies))
	for key, t := range tallies {
		if len(encoded) == tallyBytes*maxTallies {
			break
		}
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = append(encoded, uint8(min(t.Count, math.MaxUint8)), encodeLog(t.Log))
		delete(tallies, key)
	}
	return encoded
}

// decodeTallies is the inverse of encodeTallies. It does not fail on a later form that holds
// more entries.
func decodeTallies(encoded []byte, each func(Key, Tally)) error {
	if len(encoded)%tallyBytes != 0 {
		return errors.Errorf("tallies of servers have %d bytes", len(encoded))
	}
	for range min(len(encoded)/tallyBytes, maxTallies) {
		each(Key(binary.BigEndian.Uint32(encoded)), Tally{Count: int(encoded[4]), Log: decodeLog(encoded[5])})
		encoded = encoded[tallyBytes:]
	}
	return nil
}

// appendFigure appends the encoded form of a figure as of now.
func appendFigure(encoded []byte, key Key, f Figure, now time.Time) []byte {
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
	weight := math.Round(min(f.Weight, maxWeight) / weightUnit)
	age := min(max(now.Sub(f.At), 0)/ageUnit, math.MaxUint8)
	return append(encoded, encodeLog(f.Log), uint8(weight), uint8(age))
}

// decodeFigures is the inverse of appendFigure.
func decodeFigures(encoded []byte, now time.Time, each func(Key, Figure)) error {
	if len(encoded)%figureBytes != 0 {
		return errors.Errorf("figures of servers have %d bytes", len(encoded))
	}
	for range min(len(encoded)/figureBytes, maxFigures) {
		each(Key(binary.BigEndian.Uint32(encoded)), Figure{
			Log:    decodeLog(encoded[4]),
			Weight: float64(encoded[5]) * weightUnit,
			At:     now.Add(-time.Duration(encoded[6]) * ageUnit),
		})
		encoded = encoded[figureBytes:]
	}
	return nil
}

// encodeLog encodes a logarithm within maxLogRatio.
func encodeLog(log float64) byte {
	return byte(int8(math.Round(min(max(log, -maxLogRatio), maxLogRatio) / logUnit)))
}

// decodeLog is the inverse of encodeLog.
func decodeLog(encoded byte) float64 { return float64(int8(encoded)) * logUnit }
