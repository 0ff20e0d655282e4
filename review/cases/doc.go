// Command cases runs the cases of the review that are scripts. It starts daemons as
// separate processes, with the program that the deploy file builds, and plays the store,
// the servers and the callers itself, on loopback addresses. All that was sent, answered
// and run goes to a record file, from which the rule of the case is judged.
package main
