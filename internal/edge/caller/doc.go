// Package caller implements the entry's HTTP server for callers.
package caller
