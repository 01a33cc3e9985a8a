// Package untrusted runs the real program as a process, lets crowds of clients exhaust it, and
// checks that it lives within its memory and descriptors; it holds tests only.
package untrusted
