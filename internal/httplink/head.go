package httplink

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim is the number of interim responses before the final one.
const maxInterim = 16

// maxQuotedBytes is how many bytes of a head an error quotes.
const maxQuotedBytes = 40

// readHead reads the head of the final response into resp, and discards interim ones before
// it. Each head is checked first, since fasthttp takes more than HTTP allows: status 000 as
// 200, control bytes in a reason phrase, and spaces in the name of a field, of which it removes
// those before the colon.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	for range maxInterim + 1 {
		status, err := peekStatus(r)
		if err != nil {
			return err
		}
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		if err := checkFraming(head); err != nil {
			return err
		}
		if err := resp.Header.Read(r); err != nil || status >= fasthttp.StatusOK {
			return err
		}
	}
	return ErrInterim
}

// peekHead returns a head whose status line was checked up to its status code, after a check of
// the rest. It leaves the head unread, and fails at the first byte that no head can have at its
// place.
func peekHead(r *bufio.Reader) ([]byte, error) {
	scanner := headScanner{part: partValue}
	for length := len(statusLineForm) - 1; ; {
		head, err := r.Peek(max(length+1, r.Buffered()))
		if err != nil {
			return nil, incomplete(err)
		}
		for ; length < len(head); length++ {
			if !scanner.accept(head[length]) {
				quoted := head[max(0, length+1-maxQuotedBytes) : length+1]
				return nil, errors.Wrapf(ErrHead, "%q", quoted)
			}
			if scanner.part == partEnd {
				return head[:length+1], nil
			}
		}
	}
}

// encodingVersion is the version of HTTP in which fasthttp reads transfer encodings.
const encodingVersion = "HTTP/1.1"

// checkFraming fails for a head that leaves open where the body ends: it names a transfer encoding
// in another version of HTTP, or beside a length.
func checkFraming(head []byte) error {
	if !hasField(head, fasthttp.HeaderTransferEncoding) {
		return nil
	}
	if version := head[:len(encodingVersion)]; string(version) != encodingVersion {
		return errors.Wrapf(ErrFraming, "%s in %s", fasthttp.HeaderTransferEncoding, version)
	}
	if hasField(head, fasthttp.HeaderContentLength) {
		return errors.Wrapf(ErrFraming, "%s beside %s", fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding)
	}
	return nil
}

// hasField reports whether a checked head has a field with the given name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(field, []byte(name)) {
			return true
		}
	}
	return false
}

// incomplete returns the error for a head of which some bytes came before err.
func incomplete(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return errors.Wrapf(ErrHead, "longer than %d bytes", readBufferBytes)
	default:
		return err
	}
}
