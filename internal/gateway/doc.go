// Package gateway accepts the requests of callers for servers that check the
// owners of their keys themselves, and sends each straight to a server. A
// request that may run at most once is sent again only when it surely did not
// run; a refusal says "not run" only then.
package gateway
