// Package reducer makes all decisions of a node. It is a deterministic state machine:
// Reducer.Step maps the current state, a time and an event to a new state and a list of
// effects, and performs no I/O.
package reducer
