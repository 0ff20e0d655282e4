// Package model holds the identifiers and small value types that every other
// package shares. It depends on nothing else in the repository.
package model
