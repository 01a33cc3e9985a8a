// Package stream is a client for the platform's append-only log. It appends records,
// passes the records that it reads to the decision loop, and has an in-memory log for
// tests and the demonstration.
package stream
