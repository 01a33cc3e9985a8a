// Package warmup bounds the requests that a cold upstream gets. It performs no I/O, and its callers
// give it the time.
package warmup
