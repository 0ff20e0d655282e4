// Package slots shares out the slots of servers that own keys. Each server has
// one daemon, its dispatcher, that is asked before a request goes to the server.
// It lets as many requests go as the server runs at one time, and a few more;
// others wait in the order of their ranks as long as they can still be in time,
// and are refused at once when they can't. Nothing depends on a dispatcher: when
// it does not answer, requests go without being asked for.
package slots
