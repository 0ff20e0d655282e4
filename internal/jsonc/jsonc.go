// Package jsonc strictly decodes JSON with comments and edits it without losing
// the comments. Unknown names, repeated names and wrong types are all reported at
// once, each with file, line, column and path. A path is the list of member names
// and list indexes that leads from the root of a document to a value.
package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a text and its position.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // in bytes, from 1
	// Path is the path of the value, such as "teams.orders.pools.drafts.slots".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the problem as "file:line:column: path: message", without the
// path if it is empty.
func (p Problem) String() string {
	position := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Path == "" {
		return position + ": " + p.Message
	}
	return position + ": " + p.Path + ": " + p.Message
}

// Problems is an error that lists the problems of a text.
type Problems []Problem

// Error implements the error interface.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed text with the positions of its values.
type Document struct {
	file  string
	text  []byte
	value hujson.Value
}

// Parse checks the syntax of a text and returns it as a document. The file name is
// used in problems only. The error is of type Problems.
func Parse(file string, text []byte) (*Document, error) {
	text = withFinalNewline(text)
	value, err := hujson.Parse(text)
	if err != nil {
		line, column := syntaxPosition(err)
		return nil, Problems{{File: file, Line: line, Column: column, Message: err.Error()}}
	}
	return &Document{file: file, text: text, value: value}, nil
}

// withFinalNewline returns the text with a newline at its end. The parser does not
// accept a line comment that no newline ends.
func withFinalNewline(text []byte) []byte {
	if bytes.HasSuffix(text, []byte("\n")) {
		return text
	}
	return append(bytes.Clone(text), '\n')
}

// syntaxPosition extracts "line N, column M" from a parser error. It returns 1, 1
// if the error has no position.
func syntaxPosition(err error) (line, column int) {
	start := strings.Index(err.Error(), "line ")
	if start < 0 {
		return 1, 1
	}
	if _, scanErr := fmt.Sscanf(err.Error()[start:], "line %d, column %d", &line, &column); scanErr != nil {
		return 1, 1
	}
	return line, column
}

// Decode checks the document against the type of out, a pointer to a struct, and
// decodes it into out. The error is of type Problems.
func (d *Document) Decode(out any) error {
	c := checker{doc: d}
	c.check(&d.value, reflect.TypeOf(out).Elem(), "")
	if len(c.problems) > 0 {
		return c.problems
	}
	if err := json.Unmarshal(d.Standard(), out); err != nil {
		return Problems{{File: d.file, Line: 1, Column: 1, Message: err.Error()}}
	}
	return nil
}

// Standard returns the text as JSON without comments and trailing commas. Positions are kept.
func (d *Document) Standard() []byte {
	standard := d.value.Clone()
	standard.Standardize()
	return standard.Pack()
}

// Decode parses and decodes a text.
func Decode(file string, text []byte, out any) error {
	d, err := Parse(file, text)
	if err != nil {
		return err
	}
	return d.Decode(out)
}

// Problem returns a problem at the position of the value at the path, or of its
// nearest ancestor if the text has no such value.
func (d *Document) Problem(path []string, format string, args ...any) Problem {
	value := &d.value
	for _, name := range path {
		child := childOf(value, name)
		if child == nil {
			break
		}
		value = child
	}
	return d.problemAt(value.StartOffset, strings.Join(path, "."), fmt.Sprintf(format, args...))
}

// ProblemAt returns a problem at an offset in bytes. The path is for the reader only.
func (d *Document) ProblemAt(offset int, path, message string) Problem {
	return d.problemAt(offset, path, message)
}

func childOf(value *hujson.Value, name string) *hujson.Value {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		for i := range composite.Members {
			if memberName(&composite.Members[i]) == name {
				return &composite.Members[i].Value
			}
		}
	case *hujson.Array:
		index, err := strconv.Atoi(name)
		if err == nil && index >= 0 && index < len(composite.Elements) {
			return &composite.Elements[index]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func (d *Document) problemAt(offset int, path, message string) Problem {
	before := d.text[:min(offset, len(d.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Problem{File: d.file, Line: line, Column: column, Path: path, Message: message}
}
