// Package settings defines the settings tree: the ranks of the whole fleet and,
// for each team, a subtree of pools and routes. A tree is parsed from JSON with
// comments, validated in full, and compiled into an immutable form that the
// request path reads. The tree in force is the accepted one according to which
// requests are handled.
package settings
