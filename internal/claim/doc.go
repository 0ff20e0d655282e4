// Package claim makes requests run at most once. A request is claimed in the
// platform's table under the caller's idempotency key before it is dispatched,
// and its outcome is recorded there afterwards.
//
// The daemon that inserted a claim is the only one that ever dispatches under
// it. Nobody takes a claim over: a claim whose holder is gone stays, and
// repeats are told that the outcome is unknown. Only the holder can release a
// claim, and only when the request provably did not run; the next repeat then
// takes the released row by compare-and-set.
package claim
