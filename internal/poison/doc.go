// Package poison decides which requests may have crashed a backend server.
//
// A server's death puts the requests that ran there under suspicion. A suspect
// runs alone on a server. When it completes it is cleared; when the server dies
// again, the suspect is the only request that ran at both deaths and is
// condemned. An innocent request that shared a server is thus cleared by its
// next run, and a request that crashes servers stops after its second one.
package poison
