// Package reason defines the typed refusals, retries and failures of a request,
// the JSON shape in which callers see them, and what each says about whether
// the request ran.
package reason
