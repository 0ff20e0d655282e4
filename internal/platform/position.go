package platform

import (
	"cmp"
	"strconv"
)

// Era counts the store's returns from an older copy of itself. Each return begins the
// next era: the changes made since the copy are lost, and the revisions continue from
// the copy's, so that the same revision names another change than in the era before.
type Era uint64

// FirstEra is the era of a store that has never come back from an older copy.
const FirstEra Era = 1

// EraKey returns the key of a row that each era has for itself, so that a write meant for
// another era can't change it. In the first era it is the key itself.
func EraKey(key string, era Era) string {
	if era <= FirstEra {
		return key
	}
	return key + eraSeparator + strconv.FormatUint(uint64(era), 10)
}

// eraSeparator stands between a row's key and its era.
const eraSeparator = "@"

// eraShift is the number of bits below the era in a number that must rise over all eras.
const eraShift = 40

// FloorOfEra returns a number that is below all numbers that NextInEra gives out in an
// era, and not below those of earlier eras.
func FloorOfEra(era Era) uint64 { return uint64(max(era, FirstEra)-FirstEra) << eraShift }

// NextInEra returns the number that follows n in an era. Numbers of a later era are
// higher than those of an earlier one, whatever the store has lost.
func NextInEra(n uint64, era Era) uint64 { return max(n, FloorOfEra(era)) + 1 }

// EraOfNumber returns the era in which NextInEra gave out a number. Zero, which it never
// gives out, counts as of the first era.
func EraOfNumber(n uint64) Era {
	if n == 0 {
		return FirstEra
	}
	return FirstEra + Era((n-1)>>eraShift)
}

// Position is a point in the store's history. Positions are ordered by era first:
// revisions of different eras are not comparable. The zero value is before all others.
type Position struct {
	Revision Revision `json:"revision"`
	// Era is left out in the encoded form by builds that know no eras.
	Era Era `json:"era,omitempty"`
}

// Compare returns a negative number if p is before q, zero if they are equal, and a
// positive number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether p is the zero value, which stands for no position.
func (p Position) IsZero() bool { return p == Position{} }
