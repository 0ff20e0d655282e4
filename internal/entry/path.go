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

// Bounds of what callers name.
const (
	maxKeyBytes         = 256
	maxIdempotencyBytes = 256
)

// pathOf returns the path of a request target as the caller wrote it.
func pathOf(target []byte) []byte {
	path, _, _ := bytes.Cut(target, []byte{'?'})
	return path
}

// checkPath refuses a path that a server could read differently from the
// router: encoded slashes, empty and dot segments, and broken encodings.
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
		return errors.New("the path has a broken percent-encoding")
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

// readKey decodes the key that the router captured from the path as the caller
// wrote it, so that each key has one spelling, and refuses one that can't travel
// in a header.
func readKey(captured model.Key) (model.Key, error) {
	decoded, err := url.PathUnescape(string(captured))
	if err != nil {
		return "", errors.New("the key has a broken percent-encoding")
	}
	key := model.Key(decoded)
	return key, checkKey(key)
}

func checkKey(key model.Key) error {
	if len(key) > maxKeyBytes {
		return errors.Errorf("the key is longer than %d bytes", maxKeyBytes)
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
		return errors.Errorf("the Idempotency-Key is longer than %d bytes", maxIdempotencyBytes)
	}
	if !printable(key) {
		return errors.New("the Idempotency-Key has a control character or is not UTF-8")
	}
	return nil
}

func printable(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, unicode.IsControl) < 0
}
