// Package coldstart decides which daemon may send a request to a cold server, and when. A
// cold server takes few requests per second from the whole fleet; only some daemons, its
// holders, send to it, each at its own pace. It makes no network calls and reads no clock.
package coldstart
