// Package slots limits the number of requests that all daemons together send to a
// server that owns keys. A slot is a request that the server can run at a time. For
// each server one daemon is the dispatcher, which every daemon asks for a ticket before
// it sends a request to the server. The dispatcher admits as many requests as the
// server has slots, plus extraInFlight. Further requests wait in the order of their
// ranks while they can still be answered in time, and are refused at once when they
// cannot. The dispatcher is not required for requests to be served: if it does not
// respond, requests are sent without a ticket.
package slots
