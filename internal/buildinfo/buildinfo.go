// Package buildinfo holds the version that both programs print.
package buildinfo

// Version is the released version of chicorylug.
const Version = "0.1.0"
