// Package settings reads and checks a node's INI settings file.
package settings
