package platform

import "cmp"

// Era counts the store's returns from an older copy of itself. Each return begins the
// next era: the changes made since the copy are lost, and the revisions continue from
// the copy's, so that the same revision names another change than in the era before.
type Era uint64

// FirstEra is the era of a store that has never come back from an older copy.
const FirstEra Era = 1

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
