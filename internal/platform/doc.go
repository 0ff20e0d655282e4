// Package platform defines the services of the platform on which the system
// depends: a transactional table, an object store, a list of instances that lags
// behind, and a store of records with a change feed. The platform package at the
// root of the module implements them over HTTP.
//
// Every write to the table carries a unique write ID. When the response to a write is
// lost, the row is read and its write ID compared; the write is not repeated without
// this check.
package platform
