// Package pipeline runs the requests that a client pipelines on one HTTP/1.1 connection at the same
// time and answers them in order. Until a client pipelines, net/http serves its connection.
package pipeline
