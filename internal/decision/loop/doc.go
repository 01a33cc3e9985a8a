// Package loop serialises a node's events into its reducer and delivers the
// effects to those who carry them out.
package loop
