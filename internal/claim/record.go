package claim

import (
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
)

// State is what the table says of a claimed request.
type State string

// States of a record.
const (
	// Claimed: the holder may dispatch the request, or has done so.
	Claimed State = "claimed"
	// Completed: a server answered; the answer may have been kept.
	Completed State = "completed"
	// Unknown: the request may have run, and no answer came.
	Unknown State = "unknown"
	// Released: the request provably did not run; a repeat may claim it anew.
	Released State = "released"
)

// Kept says where the answer of a completed request is.
type Kept string

// Places of an answer.
const (
	KeptInRow    Kept = "row"
	KeptInObject Kept = "object"
	KeptNowhere  Kept = "nowhere"
)

// Fingerprint identifies the content of a request, so that one idempotency key
// can't stand for two different requests.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request. body is a digest of the
// body, or what else is known of it before it is read.
func FingerprintOf(method, uri, body string) Fingerprint {
	sum := sha256.Sum256([]byte(method + "\n" + uri + "\n" + body))
	return Fingerprint(hex.EncodeToString(sum[:]))
}

// Header is one header of a kept answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is what a server answered to a claimed request.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Record is the content of a claim's row.
type Record struct {
	State       State           `json:"state"`
	Fingerprint Fingerprint     `json:"fingerprint"`
	Holder      model.DaemonID  `json:"holder"`
	Request     model.RequestID `json:"request"`
	// ClaimedMS and DispatchByMS are Unix milliseconds of the holder's clock. The
	// holder does not dispatch after DispatchByMS.
	ClaimedMS    int64 `json:"claimed_ms"`
	DispatchByMS int64 `json:"dispatch_by_ms"`
	// AnswerLocation, Answer, Object, BodyBytes and BodySHA256 describe a completed request.
	AnswerLocation Kept    `json:"kept,omitempty"`
	Answer         *Answer `json:"answer,omitempty"`
	Object         string  `json:"object,omitempty"`
	BodyBytes      int64   `json:"body_bytes,omitempty"`
	BodySHA256     string  `json:"body_sha256,omitempty"`
}

// Expired reports that the record is older than the retention time.
func (r *Record) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.ClaimedMS)) > Retention
}

func (r *Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "claim: encode")
}

func decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "claim: decode")
	}
	return r, nil
}

const (
	keyPrefix    = "claim/"
	objectPrefix = "claim/"
)

// Key is the key of a claim's row. Its first characters are evenly spread, so
// that expired claims can be listed in small parts.
type Key string

// KeyOf returns the row key of an idempotency key within a team's route.
func KeyOf(team model.TeamName, route model.RouteName, idempotency string) Key {
	scope := strings.Join([]string{string(team), string(route), idempotency}, "\x00")
	sum := sha256.Sum256([]byte(scope))
	return Key(keyPrefix + hex.EncodeToString(sum[:]))
}
