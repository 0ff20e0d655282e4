package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Errors for bodies that are not passed on completely.
var (
	errTruncated      = errors.New("the body ended before its stated length")
	errTooLong        = errors.New("the body is larger than the limit")
	errDigestMismatch = errors.New("the body does not match its stated SHA-256")
)

const unknownLength = -1 // length of a chunked body, as in fasthttp

// verifyingReader passes a body on while it verifies its length and SHA-256. Until
// both are verified, it withholds the last bytes of a body of known length, or the
// io.EOF of a chunked one. So the receiver of an invalid body can't mistake it for
// complete.
type verifyingReader struct {
	source     io.Reader
	remaining  int64     // bytes still expected; unknownLength when the body is chunked
	allowance  int64     // bytes still allowed
	wantSHA256 string    // lower-case hex; empty when no SHA-256 was stated
	hash       hash.Hash // nil when no SHA-256 was stated
	started    bool      // Read was called
	finished   bool      // the whole body is verified
	err        error     // returned by all further reads
}

// newVerifyingReader returns a reader of a body of length bytes or unknownLength.
// allowance is the largest number of bytes that is accepted, wantSHA256 the hex
// SHA-256, or empty when none was stated.
func newVerifyingReader(source io.Reader, length, allowance int64, wantSHA256 string) *verifyingReader {
	v := &verifyingReader{source: source, remaining: length, allowance: allowance, wantSHA256: strings.ToLower(wantSHA256)}
	if wantSHA256 != "" {
		v.hash = sha256.New()
	}
	return v
}

// Read implements io.Reader.
func (v *verifyingReader) Read(p []byte) (int, error) {
	v.started = true
	if v.err != nil {
		return 0, v.err
	}
	if v.remaining == 0 {
		return 0, v.finish()
	}
	count, err := v.source.Read(p)
	v.account(p[:count])
	if v.err == nil {
		v.err = v.checkEnd(err)
	}
	if v.err != nil {
		return v.deliverable(count), v.err
	}
	return count, nil
}

// account updates the hash and the counts with bytes that were read, and sets the
// error if the body is too long.
func (v *verifyingReader) account(p []byte) {
	if v.hash != nil {
		v.hash.Write(p)
	}
	v.allowance -= int64(len(p))
	if v.allowance < 0 {
		v.err = errTooLong
	}
	if v.remaining != unknownLength {
		v.remaining -= int64(len(p))
	}
}

// checkEnd returns the error to report with the bytes just read, given the error of
// the source.
func (v *verifyingReader) checkEnd(err error) error {
	if v.remaining == 0 && (err == nil || errors.Is(err, io.EOF)) {
		return v.verifyLast()
	}
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		return err
	case v.remaining > 0:
		return errTruncated
	default:
		return v.finish()
	}
}

// verifyLast verifies the SHA-256 of a body of known length. It returns nil if it
// matches, so that the last bytes are passed on; the next read returns io.EOF.
func (v *verifyingReader) verifyLast() error {
	if !v.digestMatches() {
		return errDigestMismatch
	}
	v.finished = true
	return nil
}

// finish returns io.EOF if the whole body was passed on and its SHA-256 matches.
func (v *verifyingReader) finish() error {
	if v.finished {
		return io.EOF
	}
	if !v.digestMatches() {
		v.err = errDigestMismatch
		return errDigestMismatch
	}
	v.finished = true
	return io.EOF
}

// deliverable returns how many of the bytes just read are passed on together with
// the reader's error: all of them at io.EOF, none at other errors.
func (v *verifyingReader) deliverable(count int) int {
	if errors.Is(v.err, io.EOF) {
		return count
	}
	return 0
}

func (v *verifyingReader) digestMatches() bool {
	return v.hash == nil || hex.EncodeToString(v.hash.Sum(nil)) == v.wantSHA256
}
