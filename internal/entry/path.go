package entry

import (
	"bytes"
	"net/url"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Limits, in bytes, of what callers pass to identify their data and requests.
const (
	maxKeyBytes         = 256
	maxIdempotencyBytes = 256
)

// pathOf returns the path of a request target, still percent-encoded.
func pathOf(target []byte) []byte {
	path, _, _ := bytes.Cut(target, []byte{'?'})
	return path
}

// checkPath returns an error for a path that a server could interpret differently
// from the router: one with encoded slashes, empty or dot segments, or invalid
// percent-encodings.
func checkPath(path []byte) error {
	if len(path) == 0 || path[0] != '/' {
		return errors.New("the path does not begin with a slash")
	}
	if bytes.IndexByte(path, '#') >= 0 {
		return errors.New("the path has a fragment")
	}
	rest := path[1:]
	for {
		segment, after, more := bytes.Cut(rest, []byte{'/'})
		if len(segment) == 0 && more {
			return errors.New("the path has an empty segment")
		}
		if err := checkSegment(string(segment)); err != nil {
			return err
		}
		if !more {
			return nil
		}
		rest = after
	}
}

func checkSegment(segment string) error {
	decoded, err := url.PathUnescape(segment)
	if err != nil {
		return errors.New("the path has an invalid percent-encoding")
	}
	if decoded == "." || decoded == ".." {
		return errors.New("the path has a dot segment")
	}
	if strings.ContainsAny(decoded, "/\\") {
		return errors.New("the path has an encoded slash or a backslash")
	}
	if !printable(decoded) {
		return errors.New("the path has a control character or is not UTF-8")
	}
	return nil
}

// readKey decodes the percent-encoded key that the router captured from the path,
// so that all encodings of a key map to the same shard. It returns an error for a
// key that can't be sent in a header.
func readKey(captured model.Key) (model.Key, error) {
	decoded, err := url.PathUnescape(string(captured))
	if err != nil {
		return "", errors.New("the key has an invalid percent-encoding")
	}
	key := model.Key(decoded)
	return key, checkKey(key)
}

func checkKey(key model.Key) error {
	if len(key) > maxKeyBytes {
		return errors.Errorf("the key has %d bytes, more than the limit of %d", len(key), maxKeyBytes)
	}
	if !printable(string(key)) {
		return errors.New("the key has a control character or is not UTF-8")
	}
	if strings.TrimSpace(string(key)) != string(key) {
		return errors.New("the key begins or ends with a space")
	}
	return nil
}

func checkIdempotencyKey(key string) error {
	if len(key) > maxIdempotencyBytes {
		return errors.Errorf("the Idempotency-Key has %d bytes, more than the limit of %d", len(key), maxIdempotencyBytes)
	}
	if !printable(key) {
		return errors.New("the Idempotency-Key has a control character or is not UTF-8")
	}
	return nil
}

func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, unicode.IsControl) < 0
}
