// Package scenario proves the promises with the real program and stand-ins that run as
// processes, and measures the decisions; it holds tests only.
package scenario
