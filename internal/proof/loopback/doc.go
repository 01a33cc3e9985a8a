// Package loopback reserves loopback addresses for processes that tests start.
package loopback
