// Package follow keeps a daemon's copy of what stands in the store: the
// configuration, the registered servers, the other daemons and the owners of
// keys. A few daemons follow the store itself; the others follow one of these,
// and the store when none of them answers or hears from it.
//
// Each collection has a floor and a revision: all changes after the floor are
// known up to the revision. A daemon that is behind the floor of the one that it
// asks is given all records anew.
package follow
