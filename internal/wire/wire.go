// Package wire names the HTTP headers and paths that callers, daemons and
// backend servers exchange.
package wire

// Headers between callers and entry daemons.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderServer         = "X-Chicorylug-Server"
	HeaderDispatcher     = "X-Chicorylug-Dispatcher"
	HeaderEpoch          = "X-Chicorylug-Epoch"
	// HeaderReplayed is "1" on an answer that was recorded for an earlier request
	// with the same idempotency key.
	HeaderReplayed = "X-Chicorylug-Replayed"
	// HeaderTrace is "1" on requests whose steps the caller wants in the journals.
	HeaderTrace = "X-Chicorylug-Trace"
	// HeaderDeadline is an absolute time in Unix milliseconds.
	HeaderDeadline = "X-Chicorylug-Deadline"
	// HeaderReason marks an answer that a daemon made itself; its body is a reason.Error.
	HeaderReason = "X-Chicorylug-Reason"
	// HeaderBodySHA256 is the hex SHA-256 of a body, checked end to end where given.
	HeaderBodySHA256 = "X-Body-Sha256"
)

// Headers from entry to dispatcher.
const (
	HeaderPool  = "X-Chicorylug-Pool"
	HeaderRank  = "X-Chicorylug-Rank"
	HeaderShard = "X-Chicorylug-Shard"
	HeaderKey   = "X-Chicorylug-Key"
	HeaderTerm  = "X-Chicorylug-Term"
	HeaderRoute = "X-Chicorylug-Route"
	// HeaderAtMostOnce is "1" on requests that may run at most once.
	HeaderAtMostOnce = "X-Chicorylug-Once"
	// HeaderCrashID names the death of a server under which an earlier attempt ran.
	HeaderCrashID = "X-Chicorylug-Death"
)

// Prefixes of headers that only daemons and backend servers set. They are
// removed from what callers send.
const (
	PrefixInternal = "X-Chicorylug-"
	PrefixServer   = "X-Server-"
)

// Headers from backend servers.
const (
	// HeaderLoad reports "in-use/slots".
	HeaderLoad = "X-Server-Load"
	// HeaderDraining is "1" while the server is leaving.
	HeaderDraining = "X-Server-Draining"
	// HeaderNotRun is "1" on an answer to a request that the server did not run.
	HeaderNotRun = "X-Server-Not-Run"
)

// Paths of backend servers, besides callers' own paths.
const (
	PathGrant  = "/.chicorylug/grant"
	PathHealth = "/.chicorylug/health"
)
