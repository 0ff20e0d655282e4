// Package backends sends requests straight to backend servers that check the
// owners of their keys themselves. It knows what this daemon has seen of each
// server, chooses among the servers of a service, keeps the connections and the
// budget of repeated sends, and tells for each attempt whether it ran.
package backends
