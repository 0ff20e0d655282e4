// Package keeper divides the keys of services among servers that check their
// owners themselves.
//
// One daemon keeps each service. The division stands in one record of the store
// that also names the keeper; each write of it is conditional, so that a keeper
// that was replaced can't change it. A server owns keys by a grant with a fence
// and a time. The keeper renews the grants. A successor grants the same keys to
// the same servers under higher fences, which ends the old keeper's grants.
//
// Keys move from a server only after it has released them, or after its process
// has ended, or after every grant that it may have got has run out. Grants under
// one fence go to one process only: see lineage.
package keeper
