// Package stream speaks to the platform's append-only log.
package stream
