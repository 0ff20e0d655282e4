// Package configcheck finds what can't be meant in an operators' configuration: entries that
// never match, limits that contradict each other, references to nothing. It does no I/O and
// knows no names of the stored form: entries carry their place in it.
package configcheck

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Kind says what is wrong.
type Kind string

// Values of Kind.
const (
	// Invalid: the daemons refuse the configuration.
	Invalid Kind = "invalid"
	// NeverUsed: the entry has no effect.
	NeverUsed Kind = "never used"
	// Contradiction: the entry's value and another one can't both be meant.
	Contradiction Kind = "contradiction"
)

// Field names a part of an entry.
type Field string

// Values of Field.
const (
	FieldNone           Field = "" // the entry itself
	FieldName           Field = "name"
	FieldPrefix         Field = "prefix"
	FieldType           Field = "type"
	FieldTimeout        Field = "timeout"
	FieldObjective      Field = "objective"
	FieldAttempts       Field = "attempts"
	FieldService        Field = "service"
	FieldWeight         Field = "weight"
	FieldColdRate       Field = "cold rate"
	FieldMaxConnections Field = "connections"
	FieldBodyBytes      Field = "body bytes"
	FieldVersion        Field = "version"
)

// Place is where an entry stands in the text, as a path of names and indexes.
type Place []string

// Finding is one thing that can't be meant.
type Finding struct {
	Kind    Kind
	Place   Place
	Field   Field
	Message string
}

// Outline is a configuration with its entries as they were written, in their order.
type Outline struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route is an entry for the paths of a host.
type Route struct {
	Place     Place
	Host      string
	Name      string
	Prefix    string
	KnownType bool // whether the type is one that the daemons know
	Type      string
	Timeout   time.Duration
	Objective time.Duration
	Attempts  int
	Parts     []Part
}

// Part is a service that gets a share of a route's requests.
type Part struct {
	Place   Place
	Service model.PoolName
	Weight  int
}

// Service is an entry for a service.
type Service struct {
	Place          Place
	Name           model.PoolName
	WarmUp         time.Duration
	ColdRate       float64
	MaxConnections int
}

// Limits are the bounds for callers.
type Limits struct {
	Place     Place
	BodyBytes int64
}

// Options are facts about the deployment. The zero value has none.
type Options struct {
	// LargestBody is the longest body that a daemon holds, in bytes; 0 if not known.
	LargestBody int64
}

// Check returns the findings in the order of the entries.
func Check(o *Outline, options Options) []Finding {
	c := &checker{outline: o}
	c.checkServices()
	c.checkRoutes()
	c.checkLimits(options)
	return c.findings
}
