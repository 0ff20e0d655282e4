package claim

import (
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// State is the state of a claimed request as recorded in the table.
type State string

// States of a record.
const (
	// Claimed: the holder may dispatch the request, or has done so.
	Claimed State = "claimed"
	// Completed: a server responded; the response may be stored.
	Completed State = "completed"
	// Unknown: the request may have run, and no complete response arrived.
	Unknown State = "unknown"
	// Released: the request provably did not run; a repeat may claim it again.
	Released State = "released"
)

// ResponseLocation says where the response of a completed request is stored.
type ResponseLocation string

// Locations of a response.
const (
	ResponseInRow     ResponseLocation = "row"
	ResponseInObject  ResponseLocation = "object"
	ResponseNotStored ResponseLocation = "nowhere" // only the status, or the status and the headers, are known
)

// Fingerprint identifies the content of a request as a hex SHA-256, so that one
// idempotency key can't be used for two different requests.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request. body is a digest of the body,
// or other information on it that is available before the body is read.
func FingerprintOf(method, uri, body string) Fingerprint {
	sum := sha256.Sum256([]byte(method + "\n" + uri + "\n" + body))
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Header is one header of a stored response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Response is the response of a server to a claimed request.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Record is the value of a claim's row. It is stored as JSON.
type Record struct {
	State       State           `json:"state"`
	Fingerprint Fingerprint     `json:"fingerprint"`
	Holder      model.DaemonID  `json:"holder"`
	Request     model.RequestID `json:"request"`
	// ClaimedMS and DispatchByMS are in Unix milliseconds by the holder's clock. The
	// holder does not dispatch the request after DispatchByMS.
	ClaimedMS    int64 `json:"claimed_ms"`
	DispatchByMS int64 `json:"dispatch_by_ms"`
	// Era is the store's era in which the claim was made.
	Era platform.Era `json:"era,omitempty"`
	// ResponseLocation, Response, Object, BodyBytes and BodySHA256 describe a completed request.
	ResponseLocation ResponseLocation `json:"kept,omitempty"`
	Response         *Response        `json:"answer,omitempty"` // without the body if that is not in the row
	Object           string           `json:"object,omitempty"` // name of the body's object, if it is in the object store
	BodyBytes        int64            `json:"body_bytes,omitempty"`
	BodySHA256       string           `json:"body_sha256,omitempty"`
}

// Expired reports whether the record is older than Retention.
func (r *Record) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.ClaimedMS)) > Retention
}

func (r *Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "claim: encode the record")
}

func decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "claim: decode the record")
	}
	return r, nil
}

const (
	keyPrefix    = "claim/" // of the keys of claims' rows
	objectPrefix = "claim/" // of the names of stored response bodies
)

// Key is the key of a claim's row: a fixed prefix and a hex SHA-256. The digits are
// uniformly distributed, so that the sweeper can list claims in small parts.
type Key string

// KeyOf returns the row key for an idempotency key, which is scoped to a route of a team.
func KeyOf(team model.TeamName, route model.RouteName, idempotency string) Key {
	scope := strings.Join([]string{string(team), string(route), idempotency}, "\x00")
	sum := sha256.Sum256([]byte(scope))
	return Key(keyPrefix + hex.EncodeToString(sum[:]))
}
