// Package http1 checks the heads of HTTP/1 answers. net/http accepts heads that are no valid ones, and
// then takes another length or another status for the answer's than its sender or the next receiver does.
package http1
