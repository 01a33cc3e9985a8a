// Package upstream implements the guard's side of the connection to the upstream on this
// VM: announcements, health probes and the attempts that run on it.
package upstream
