// Package crowd holds the tests of crowds of callers that waste a daemon's memory and
// connections. They start the real program as a process on loopback addresses with low
// limits, and check that it lives, stays within its memory and descriptors, and answers
// an ordinary request while the crowd's connections are still open.
package crowd
