// Package settingstore stores the settings tree in the platform's table, accepts
// operators' changes and puts accepted versions in force on this daemon. A
// version is in force on a daemon when the daemon handles requests according to it.
//
// One row of the table holds the current version. A change first copies that
// version into the history and then replaces the row by compare-and-set. Daemons
// distribute accepted versions among themselves through package spread. In
// addition, the daemons share a low rate of reads of the table, which find a
// version whose accepting daemon crashed before it sent the version to any peer.
// A version is put in force only after the table holds it, and the version in
// force on a daemon never decreases.
package settingstore
