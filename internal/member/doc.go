// Package member tracks the other daemons and the platform's list of instances. A
// few daemons read the list from the platform and spread it to the others. Each
// daemon also spreads its own record, with its identity and addresses. A daemon is
// a member when it is listed and its record has arrived.
//
// The package reports which daemons are listed, not which are alive: liveness is
// determined by the coordinators and the dispatchers.
package member
