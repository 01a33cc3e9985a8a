// Package tenant decides what the tenants of a plan may use. Its functions are pure and perform
// no I/O.
package tenant
