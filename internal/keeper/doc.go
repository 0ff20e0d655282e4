// Package keeper assigns the keys of services to backend servers that check
// themselves whether they own a key.
//
// Each service has one keeper: the daemon that decides which server owns which keys.
// The assignment is one record in the store, which also names the keeper and its
// term, a number that rises by 1 with each change of the keeper. Each write of the
// record is conditional on its revision, so that a keeper that was replaced can't
// change it.
//
// A server owns keys by a grant: a lease on a range of keys with a duration, called
// its hold, and a fencing token, called its fence. The keeper renews the grants. A new
// keeper grants the same keys to the same servers under higher fences, which makes
// the servers refuse the earlier keeper's grants.
//
// A key moves to another server only after its owner has released it, after the
// owner's process has ended, or after every grant that the owner may have received
// has expired. Grants under one fence are sent to one process only: see
// processConns.
//
// Each daemon runs a Keeper, which takes over services whose keeper has failed. For
// each service that its daemon is the keeper of, a serviceKeeper renews the grants in
// renewLoop and moves keys in moveLoop.
package keeper
