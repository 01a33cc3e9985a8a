// Package caller is the entry's side towards callers: it accepts their HTTP
// requests and answers them.
package caller
