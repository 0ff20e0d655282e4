package httplink

// asciiDelete is the one control byte of ASCII above the space.
const asciiDelete = 0x7f

// headPart is a part of a head.
type headPart int

const (
	partValue   headPart = iota // a field's value, or the reason phrase
	partValueCR                 // after the CR at the end of a value
	partLineStart
	partName    // a field's name
	partFinalCR // after the CR of the empty line that ends the head
	partEnd     // after the head
)

// headScanner checks a head byte by byte, from the reason phrase on. A value may go on in a line
// that begins with a space or tab.
type headScanner struct {
	part headPart // in which the next byte stands
}

// accept takes the next byte. It reports whether a head can have it there.
func (s *headScanner) accept(b byte) bool {
	switch s.part {
	case partValue:
		return s.acceptInValue(b)
	case partLineStart:
		return s.acceptAtLineStart(b)
	case partName:
		if b == ':' {
			s.part = partValue
			return true
		}
		return isToken[b]
	case partValueCR:
		s.part = partLineStart
		return b == '\n'
	case partFinalCR:
		s.part = partEnd
		return b == '\n'
	default:
		return false
	}
}

func (s *headScanner) acceptInValue(b byte) bool {
	switch b {
	case '\n':
		s.part = partLineStart
	case '\r':
		s.part = partValueCR
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
		s.part = partFinalCR
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
