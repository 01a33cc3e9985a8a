// Package loop serialises the events of a node, passes them to its reducer and
// dispatches the resulting effects to their handlers.
package loop
