// Package coordinator decides each pool's assignment. One daemon at a time
// holds a pool's control lease in the table; it reads the instance list, weighs
// the evidence of dispatchers, and writes the assignment under its term.
package coordinator
