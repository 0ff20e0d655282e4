// Package inspect collects the views of the whole fleet that operators see. The daemon
// that an operator calls queries all daemons by RPC, merges their responses and lists
// the daemons that did not respond.
package inspect
