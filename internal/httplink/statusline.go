package httplink

import (
	"bufio"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// statusLineForm is how a response begins: # stands for a digit, _ for a space or the end of
// the line. HTTP/1.1 allows no other number of digits or spaces.
const statusLineForm = "HTTP/1.# ###_"

// statusAt is the place of the status code in statusLineForm.
const statusAt = len("HTTP/1.# ")

// Status codes that begin a response: those of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// peekStatus returns the status code of the response whose status line comes next, which it
// leaves unread. It fails at the first byte that no response can have there.
func peekStatus(r *bufio.Reader) (int, error) {
	status := 0
	for i := range len(statusLineForm) {
		line, err := r.Peek(i + 1)
		if err != nil && i > 0 {
			return 0, incomplete(err)
		}
		if err != nil {
			return 0, err
		}
		if !fits(line[i], statusLineForm[i]) {
			return 0, errors.Wrapf(ErrStatusLine, "%q", line)
		}
		if i >= statusAt && statusLineForm[i] == '#' {
			status = 10*status + int(line[i]-'0')
		}
	}
	if status < minStatus || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		return 0, errors.Wrapf(ErrStatusLine, "status %03d", status)
	}
	return status, nil
}

// fits reports whether a byte may stand where statusLineForm has the given one.
func fits(b, form byte) bool {
	switch form {
	case '#':
		return b >= '0' && b <= '9'
	case '_':
		return b == ' ' || b == '\r' || b == '\n'
	default:
		return b == form
	}
}
