// Package upstream is the guard's side towards the upstream on this VM: its
// announcements, its health and the attempts that run on it.
package upstream
