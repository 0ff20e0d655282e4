// Package serverspeed estimates how long the servers of a service need for their work,
// relative to each other: how much a server takes well.
//
// A Service holds the usual time of each kind of request. A Server holds what is known of
// one server: its lasting speed with the kind of request taken out, how its machine does at
// the moment by what the server reports, and how much slower it becomes when it is nearly
// full. What the server reports counts only as far as its own response times follow it.
// An Exchange carries samples and estimates between daemons that each see a server rarely.
//
// The package has no clock, network or randomness of its own. Its types are not safe for
// concurrent use.
package serverspeed
