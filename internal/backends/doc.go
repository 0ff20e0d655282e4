// Package backends sends requests directly to backend servers that check the
// ownership of their keys themselves. It tracks the load, speed and failures of each
// server as observed by this daemon, balances requests over the servers of a
// service, holds the connection pools and the retry budget, and reports for each
// attempt whether the server ran the request.
package backends
