// Package load is an open-loop load and experiment tool for any node's callers'
// address.
package load
