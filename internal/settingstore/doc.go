// Package settingstore keeps the settings tree in the platform's table, accepts
// operators' changes and puts accepted versions in force on this daemon.
//
// One row holds the current version. A change is a compare-and-set of that row,
// after the version that it replaces has been copied into the history. Accepted
// versions are spread between daemons; the table is read rarely, by all daemons
// in turn, to find versions whose accepting daemon died before it told anyone.
// A version is put in force only after the table holds it, and versions only rise.
package settingstore
