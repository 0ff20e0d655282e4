// Package retry bounds how often and how fast failed requests are sent again.
package retry
