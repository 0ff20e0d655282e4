package fenced

// Headers that callers of the platform's protocol send and read.
const (
	HeaderAttemptID = "Chicorylug-Attempt-Id"
	HeaderDeadline  = "Chicorylug-Request-Deadline-Ms" // milliseconds that the caller waits
	HeaderKey       = "Chicorylug-Shard-Key"
	HeaderSignature = "Chicorylug-Server-Signature" // of a server's own answer
)

// Further headers and paths of the protocol.
const (
	headerExpectedInstance = "Chicorylug-Expected-Instance"
	headerNotRun           = "Chicorylug-Not-Executed"
	headerInstance         = "Chicorylug-Instance-Id"
	headerLoad             = "Chicorylug-Instance-Load"
	headerWarmUp           = "Chicorylug-Warmup-Ms"
	headerHandover         = "Chicorylug-Handover"
	headerLeaving          = "Server-Leaving"
	pathGrant              = "/-/grant"
	pathRelease            = "/-/release"
	pathHealth             = "/healthz"
)
