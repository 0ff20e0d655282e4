package reason

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Code names why a request was refused, was retried or failed. Each daemon counts
// them by code.
type Code string

// Codes of refusals and failures.
const (
	BadRequest         Code = "bad_request"
	NoRoute            Code = "no_route"
	MethodNotAllowed   Code = "method_not_allowed"
	KeyMissing         Code = "key_missing"
	IdempotencyMissing Code = "idempotency_key_missing"
	InProgress         Code = "in_progress"
	OutcomeUnknown     Code = "outcome_unknown"
	AnswerNotKept      Code = "answer_not_kept"        // a repeat of a request that ran, whose response was not stored
	IdempotencyReused  Code = "idempotency_key_reused" // the key was used for a different request
	StoreUnavailable   Code = "store_unavailable"
	NoOwner            Code = "no_owner"
	WrongEpoch         Code = "wrong_epoch"
	ShardMoving        Code = "shard_moving"
	NotDispatcher      Code = "not_dispatcher"
	PermitExpired      Code = "permit_expired" // the dispatcher's permission to send to the server has ended
	QueueFull          Code = "queue_full"
	DeadlineTooShort   Code = "deadline_too_short"
	DeadlinePassed     Code = "deadline_passed"
	ServerShed         Code = "server_shed"
	ServerPaused       Code = "server_paused" // the server asked for a pause
	ServerCold         Code = "server_cold"   // the server has just started, or may have, and gets few requests
	ServerDraining     Code = "server_draining"
	ZoneEvacuated      Code = "zone_evacuated"    // operators have evacuated the availability zones of all servers that may run it
	NoAllowedRegion    Code = "no_allowed_region" // no server that may run it is in a region that its route allows
	ServerUnreachable  Code = "server_unreachable"
	ServerLost         Code = "server_lost"
	ServerTimeout      Code = "server_timeout"
	ServerRefusedGrant Code = "server_refused_grant"
	DispatcherLost     Code = "dispatcher_lost"
	ShortAnswer        Code = "short_answer"
	ShortUpload        Code = "short_upload"
	DigestMismatch     Code = "digest_mismatch"
	BodyTooLarge       Code = "body_too_large"
	EntryFull          Code = "entry_full"      // too many requests or too much body memory in use at the daemon that received the request
	LinkFull           Code = "link_full"       // the network link of the daemon that received the request can't carry the response in time
	RetryBudget        Code = "retry_budget"    // a retry was needed, but the pool's budget of retries is used up
	SuspectedCrash     Code = "suspected_crash" // servers crashed while they ran the request
	CallerGone         Code = "caller_gone"
	ShuttingDown       Code = "shutting_down"
	NotReady           Code = "not_ready"
	Internal           Code = "internal"
)

// Outcome says whether a request ran, as far as that is certain.
type Outcome string

// Outcomes. NotRun is used only when no byte of the request reached a server, or when
// the server stated in its response that it did not run the request. Completed is
// used for the repeat of a request that ran and whose response can't be sent again.
const (
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
	Completed Outcome = "completed"
)

// Times after which callers are advised to send a request again.
const (
	retrySoon  = 200 * time.Millisecond // for a change of ownership or a lost connection, which are soon over
	retryLater = time.Second            // for lack of capacity, or an earlier request that is in progress
	retryStore = 2 * time.Second        // for a platform table that does not answer
)

// Error is the refusal or failure of one request. It is sent as JSON to callers and,
// in the same form, between daemons.
type Error struct {
	Code      Code            `json:"reason"`
	Outcome   Outcome         `json:"outcome"`
	Step      string          `json:"step"`
	Peer      string          `json:"peer,omitempty"`
	RequestID model.RequestID `json:"request_id,omitempty"`
	Message   string          `json:"message"`
	// RetryAfter is the time after which the caller may send the request again;
	// zero when sending it again is not advised.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterMS is RetryAfter in milliseconds. JSON and Parse convert it.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Epoch is the shard's epoch at the refusing daemon, for WrongEpoch.
	Epoch model.Epoch `json:"epoch,omitempty"`
	// Seq is the version of the pool's assignment at the refusing daemon.
	Seq model.Seq `json:"seq,omitempty"`
	// CrashID identifies the crash of a server at which the request was running.
	// It is sent with a retry, so that the next dispatcher runs the request alone.
	CrashID string `json:"death,omitempty"`
}

// New returns an error for a request that certainly did not run. step is the part of
// the request's handling that failed and peer the process involved, or empty.
func New(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: NotRun, Step: step, Peer: peer, Message: fmt.Sprintf(format, args...)}
}

// NewUnknown is like New, but for a request that may have run.
func NewUnknown(code Code, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: Unknown, Step: step, Peer: peer, Message: fmt.Sprintf(format, args...)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (peer %q, outcome %s): %s", e.Code, e.Step, e.Peer, e.Outcome, e.Message)
}

// JSON returns the error in the form that callers and other daemons receive.
func (e *Error) JSON() []byte {
	copied := *e
	copied.RetryAfterMS = e.RetryAfter.Milliseconds()
	body, err := json.Marshal(&copied)
	if err != nil {
		return []byte(`{"reason":"internal","outcome":"unknown"}`)
	}
	return body
}

// Parse decodes an error that another daemon sent. It returns an error for a body
// without a reason or with an unknown outcome, so that neither is taken for "not run".
func Parse(body []byte) (*Error, error) {
	var e Error
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, errors.Wrap(err, "reason: decode JSON")
	}
	if e.Code == "" {
		return nil, errors.New("reason: the field \"reason\" is missing or empty")
	}
	if e.Outcome != NotRun && e.Outcome != Unknown && e.Outcome != Completed {
		return nil, errors.Errorf("reason: unknown outcome %q", e.Outcome)
	}
	e.RetryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
	return &e, nil
}

// RetryAfter returns the time after which a caller is advised to send the request
// again, or zero when sending it again is not advised.
func (c Code) RetryAfter() time.Duration {
	switch c {
	case NoOwner, WrongEpoch, ShardMoving, NotDispatcher, PermitExpired, ServerDraining, ServerUnreachable, DispatcherLost:
		return retrySoon
	case QueueFull, EntryFull, LinkFull, RetryBudget, ServerShed, ServerPaused, ServerCold, ZoneEvacuated, NoAllowedRegion, ServerRefusedGrant, DeadlineTooShort, InProgress, ShuttingDown, NotReady:
		return retryLater
	case StoreUnavailable:
		return retryStore
	default:
		return 0
	}
}

// Status returns the HTTP status code of the response to the caller.
func (c Code) Status() int {
	switch c {
	case BadRequest, KeyMissing, IdempotencyMissing, ShortUpload, DigestMismatch:
		return 400
	case NoRoute:
		return 404
	case MethodNotAllowed:
		return 405
	case InProgress:
		return 409
	case AnswerNotKept:
		return 410
	case BodyTooLarge:
		return 413
	case SuspectedCrash, IdempotencyReused:
		return 422
	case QueueFull, EntryFull, RetryBudget, ServerShed:
		return 429
	case OutcomeUnknown, ServerLost, ShortAnswer, DispatcherLost:
		return 502
	case DeadlinePassed, DeadlineTooShort, ServerTimeout:
		return 504
	case Internal:
		return 500
	default:
		return 503
	}
}
