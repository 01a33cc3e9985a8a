// Package budget bounds the memory and the connections that clients can make a process use. Bytes are
// drawn from one budget as they arrive; when it is short, the client with the least progress for
// its bytes is ended first.
package budget
