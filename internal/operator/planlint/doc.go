// Package planlint checks the content of a plan before it is sent and lists what differs from the
// plan in force. Its functions are pure.
package planlint
