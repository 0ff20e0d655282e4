// Package entry accepts callers' HTTP requests and forwards each to the
// dispatcher of a backend server.
//
// The route of a request gives its pool of servers, its rank (class of urgency)
// and its key. In a pool that is divided by key, the key gives the shard and the
// shard's owner is the server; in other pools the entry balances over all
// servers. A dispatcher is the daemon that sends requests to a server.
//
// A request is either answered with the server's response or refused: a refusal
// is a *reason.Error, which is sent to the caller as JSON and says whether the
// request may have run.
package entry
