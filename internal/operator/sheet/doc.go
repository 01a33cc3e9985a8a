// Package sheet reads and checks the sheet that planners export each morning.
package sheet
