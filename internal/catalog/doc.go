// Package catalog holds what a daemon believes of the fleet whose servers check
// the owners of their keys themselves: the operators' configuration, the backend
// servers and the owners of keys. Traffic reads it as one immutable snapshot.
package catalog
