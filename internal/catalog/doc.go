// Package catalog holds a daemon's current view of a fleet in which the backend
// servers themselves check that they own a key: the operators' configuration, the
// registered servers and the owners of keys. Requests are routed by one immutable
// snapshot of it, which may lag behind the store.
package catalog
