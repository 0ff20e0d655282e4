// Package member knows the other daemons and the platform's instance list. A
// few daemons read the list and spread it; each daemon spreads its own record
// of identity and addresses. It tells what is listed, not what is alive:
// liveness is judged where it matters, by the coordinator and the dispatchers.
package member
