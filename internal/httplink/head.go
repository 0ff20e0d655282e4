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
// 200, control bytes in a reason phrase, and blanks in the name of a field, which it cuts off
// before the colon.
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
			return nil, cutShort(err)
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

// checkFraming fails for a head that leaves open where its body ends: the body has a transfer
// encoding in a version of HTTP for which fasthttp reads none, or beside a length.
func checkFraming(head []byte) error {
	if !hasField(head, fasthttp.HeaderTransferEncoding) {
		return nil
	}
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		return errors.Wrapf(ErrFraming, "%s in %s", fasthttp.HeaderTransferEncoding, head[:len("HTTP/1.1")])
	}
	if hasField(head, fasthttp.HeaderContentLength) {
		return errors.Wrapf(ErrFraming, "%s beside %s", fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding)
	}
	return nil
}

// hasField reports whether a checked head has a field of a name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		field, _, _ := bytes.Cut(line, []byte{':'})
		if bytes.EqualFold(field, []byte(name)) {
			return true
		}
	}
	return false
}

// cutShort returns the error for a head of which some bytes came before err.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// asciiDelete is the one control byte that is not below the blank.
const asciiDelete = 0x7f

// headPart is a part of a head.
type headPart int

const (
	partValue    headPart = iota // a field's value, or the reason phrase
	partValueEnd                 // after the CR that ends a value
	partLine                     // the beginning of a line
	partName                     // a field's name
	partLastLine                 // after the CR of the empty line
	partEnd                      // after the head
)

// headScanner checks a head byte by byte, from the reason phrase on. A value may go on in a line
// that begins with a blank or tab.
type headScanner struct {
	part headPart // in which the next byte stands
}

// accept takes the next byte. It reports whether a head can have it there.
func (s *headScanner) accept(b byte) bool {
	switch s.part {
	case partValue:
		return s.acceptInValue(b)
	case partLine:
		return s.acceptAtLineStart(b)
	case partName:
		if b == ':' {
			s.part = partValue
			return true
		}
		return isToken[b]
	case partValueEnd:
		s.part = partLine
		return b == '\n'
	case partLastLine:
		s.part = partEnd
		return b == '\n'
	default:
		return false
	}
}

func (s *headScanner) acceptInValue(b byte) bool {
	switch b {
	case '\n':
		s.part = partLine
	case '\r':
		s.part = partValueEnd
	default:
		return b == '\t' || b >= ' ' && b != asciiDelete
	}
	return true
}

func (s *headScanner) acceptAtLineStart(b byte) bool {
	switch b {
	case '\n':
		s.part = partEnd
	case '\r':
		s.part = partLastLine
	case ' ', '\t':
		s.part = partValue
	default:
		s.part = partName
		return isToken[b]
	}
	return true
}

// isToken says which bytes the name of a field may hold.
var isToken = tokenBytes()

func tokenBytes() (token [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789" + letters) {
		token[b] = true
	}
	return token
}
