// Package inspect gathers operators' views of the whole fleet: any daemon asks
// all others and names those that did not answer.
package inspect
