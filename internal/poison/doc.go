// Package poison finds the requests that crash backend servers, so that they are
// not sent to one server after the other.
//
// When a server crashes, each request that was running there may be the cause.
// Until such a request is cleared, it runs alone on a server. When it completes, it
// is cleared of the crash. When that server crashes too, the request is the only one
// that was running at both crashes, and it is rejected from then on. So a harmless
// request that shared a server with the cause is cleared by its next run, and a
// request that crashes servers is stopped after its second crash. Requests that were
// running together at the same two or more crashes are held back for HoldPeriod
// first, since each of them may be the cause.
//
// A request that many callers send alike is running at many crashes by chance. So a
// request is also cleared while a copy of it completed within completionsMemory, and
// a third crash is needed for a rejection while servers crash in a herd. The completion of
// a request that was at two crashes is told to all daemons: one that had no copy of it
// lately would reject each copy, and never see one complete.
//
// Crashes and clearances are shared among all daemons.
package poison
