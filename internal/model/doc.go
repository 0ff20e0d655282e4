// Package model defines the identifiers and small value types that the other
// packages share. It imports no other package of the module.
package model
