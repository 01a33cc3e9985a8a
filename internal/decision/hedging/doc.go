// Package hedging decides whether a call gets a second attempt beside its first one. It performs no
// I/O, and its callers give it the time.
package hedging
