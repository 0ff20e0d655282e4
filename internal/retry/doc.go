// Package retry limits how often failed requests are sent again, by budgets for each
// pool and rank, and how fast, by exponential backoff.
package retry
