// Package settings holds the settings tree: ranks of the fleet and, for each
// team, a subtree of pools and routes. A tree is parsed from JSON with
// comments, checked in full, and compiled into an immutable form for traffic.
package settings
