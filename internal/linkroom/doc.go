// Package linkroom decides what may pass a daemon's network link when, and which requests
// the link has room for. All that a daemon sends and receives shares the link: the bodies
// of its callers and servers, and the control messages between daemons and to the store.
//
// Each direction has a Pacer, which spreads large bodies over time so that little of them
// queues on the link: control messages and small bodies then pass at once. A Room admits
// requests with large responses by the bytes that are expected and still due.
//
// The package has no network, clock or randomness of its own. Package netx applies it to
// connections, and package gateway to requests.
package linkroom
