// Package wire defines the HTTP headers and paths that callers, daemons and backend
// servers use among each other. An entry daemon receives a request from a caller and
// forwards it to the daemon that is the server's dispatcher.
package wire

// Headers between callers and entry daemons.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderServer and HeaderDispatcher name the backend server of a request and the
	// daemon that sends the request to it. HeaderEpoch is the epoch of the request's
	// shard at that server.
	HeaderServer     = "X-Chicorylug-Server"
	HeaderDispatcher = "X-Chicorylug-Dispatcher"
	HeaderEpoch      = "X-Chicorylug-Epoch"
	// HeaderReplayed is "1" on a response that was stored for an earlier request with
	// the same idempotency key.
	HeaderReplayed = "X-Chicorylug-Replayed"
	// HeaderTrace is "1" on requests whose steps the daemons should record in their
	// journals.
	HeaderTrace = "X-Chicorylug-Trace"
	// HeaderDeadline is the request's deadline in Unix milliseconds.
	HeaderDeadline = "X-Chicorylug-Deadline"
	// HeaderReason marks a response that a daemon, not a server, generated. Its body
	// is a reason.Error.
	HeaderReason = "X-Chicorylug-Reason"
	// HeaderBodySHA256 is the SHA-256 of the body in hexadecimal. It is optional and
	// is checked end to end.
	HeaderBodySHA256 = "X-Body-Sha256"
)

// Headers from an entry daemon to a dispatcher.
const (
	HeaderPool  = "X-Chicorylug-Pool"
	HeaderRank  = "X-Chicorylug-Rank"
	HeaderShard = "X-Chicorylug-Shard"
	HeaderKey   = "X-Chicorylug-Key"
	HeaderTerm  = "X-Chicorylug-Term"
	HeaderRoute = "X-Chicorylug-Route"
	// HeaderAtMostOnce is "1" on requests that may run at most once.
	HeaderAtMostOnce = "X-Chicorylug-Once"
	// HeaderCrashID is the ID of the server crash during which an earlier attempt of
	// the request was running.
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
	// HeaderDraining is "1" while the server is about to shut down.
	HeaderDraining = "X-Server-Draining"
	// HeaderNotRun is "1" on a response to a request that the server did not run.
	HeaderNotRun = "X-Server-Not-Run"
)

// Paths that backend servers serve in addition to the callers' paths.
const (
	PathGrant  = "/.chicorylug/grant"
	PathHealth = "/.chicorylug/health"
)
