// Package reducer holds every decision of a node as one deterministic function
// from the current state, an instant and an event to a list of effects.
package reducer
