// Package coldservers keeps this daemon's beliefs about cold servers current: it hands
// registrations and the list of daemons to coldstart, checks the health of servers that may
// be cold, and gets permits for requests to cold owners of keys from the daemons that may
// send to them.
package coldservers
