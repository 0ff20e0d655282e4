// Package claim makes requests with an idempotency key run at most once. Before a
// daemon dispatches such a request it claims it: it inserts a row for the
// idempotency key into the platform's table. Afterwards it records the outcome in
// that row. A repeat is a later request with the same idempotency key.
//
// The daemon that wrote a claim, its holder, is the only one that ever dispatches
// the request under it. No other daemon takes a claim over: when the holder
// crashes its claim stays, and repeats get the outcome "unknown". Only the holder
// can release a claim, and only when the request provably did not run. The next
// repeat then replaces the released row by compare-and-set.
package claim
