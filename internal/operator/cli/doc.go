// Package cli is the command line: one file for each command.
package cli
