// Package entry accepts callers' requests, finds route, rank, key, shard and
// owner, and forwards each to the dispatcher of the owning server.
package entry
