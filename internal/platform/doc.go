// Package platform defines what the system asks of the platform it runs on: a
// transactional table, an object store and a lagging instance list. It also
// holds the HTTP client that speaks to them.
//
// Every write to the table carries a unique write id. A write whose answer was
// lost is resolved by reading the row and comparing the id, never by writing
// again blindly.
package platform
