// Package demo runs a small fleet in one process and checks what it did.
package demo
