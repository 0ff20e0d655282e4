// Package buildinfo holds the version of the programs chicorylug and chicorylugd.
package buildinfo

// Version is the released version of chicorylug.
const Version = "0.1.0"
