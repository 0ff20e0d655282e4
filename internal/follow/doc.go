// Package follow replicates the store's records to each daemon: the
// configuration, the registered servers, the other daemons and the owners of
// keys. It decodes them and publishes the result to the daemon's catalog.
//
// To limit the load on the store, only a few designated daemons poll the store
// for changes. Each other daemon polls one of these, and falls back to the store
// when none of them answers with data that is recent enough. If they answer that
// they do not reach the store, a few substitutes try it, and the others poll these
// and try the store themselves late and rarely: see storeTurn. All polls are long
// polls: the answer comes with the next change or at the end of the wait.
//
// Whatever happens to the daemons that it polls, a daemon whose copy of the configuration or of
// the servers is too old asks others and then the store itself: see refreshCopies.
//
// The copy of each collection has a floor and a revision: it holds all changes
// after the floor up to the revision, deletions included. A daemon whose revision
// is below the floor of the daemon that it polls is sent the whole collection.
package follow
