package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Errors of bodies.
var (
	errShort    = errors.New("the body ended before its stated length")
	errTooLong  = errors.New("the body is larger than allowed")
	errMismatch = errors.New("the body has another SHA-256 than stated")
)

const unknownLength = -1

// verified passes a body on and withholds its last bytes, or its end where the
// length is unknown, until length and digest are verified. The receiver of a
// body that fails can't take it for whole.
type verified struct {
	source io.Reader
	left   int64 // bytes still expected; unknownLength when the body is chunked
	limit  int64 // bytes still allowed
	want   string
	sum    hash.Hash
	began  bool
	ended  bool
	err    error
}

// newVerified returns a reader of a body of length bytes. want is its hex
// SHA-256, or empty when none was stated.
func newVerified(source io.Reader, length, limit int64, want string) *verified {
	v := &verified{source: source, left: length, limit: limit, want: strings.ToLower(want)}
	if want != "" {
		v.sum = sha256.New()
	}
	return v
}

// Read implements io.Reader.
func (v *verified) Read(p []byte) (int, error) {
	v.began = true
	if v.err != nil {
		return 0, v.err
	}
	if v.left == 0 {
		return 0, v.finish()
	}
	count, err := v.source.Read(p)
	v.count(p[:count])
	if v.err == nil {
		v.err = v.checkEnd(err)
	}
	if v.err != nil {
		return v.held(count), v.err
	}
	return count, nil
}

// count takes bytes into account.
func (v *verified) count(p []byte) {
	if v.sum != nil {
		v.sum.Write(p)
	}
	v.limit -= int64(len(p))
	if v.limit < 0 {
		v.err = errTooLong
	}
	if v.left != unknownLength {
		v.left -= int64(len(p))
	}
}

// checkEnd returns the error to report with the bytes that were just read.
func (v *verified) checkEnd(err error) error {
	if v.left == 0 && (err == nil || errors.Is(err, io.EOF)) {
		return v.verifyLast()
	}
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, io.EOF):
		return err
	case v.left > 0:
		return errShort
	default:
		return v.finish()
	}
}

// verifyLast lets the last bytes pass when the digest is right. The end follows
// with the next read.
func (v *verified) verifyLast() error {
	if !v.digestRight() {
		return errMismatch
	}
	v.ended = true
	return nil
}

// finish returns io.EOF when the whole body was passed on.
func (v *verified) finish() error {
	if v.ended {
		return io.EOF
	}
	if !v.digestRight() {
		v.err = errMismatch
		return errMismatch
	}
	v.ended = true
	return io.EOF
}

// held returns the bytes that may pass together with the error: none but those
// before a clean end.
func (v *verified) held(count int) int {
	if errors.Is(v.err, io.EOF) {
		return count
	}
	return 0
}

func (v *verified) digestRight() bool {
	return v.sum == nil || hex.EncodeToString(v.sum.Sum(nil)) == v.want
}
