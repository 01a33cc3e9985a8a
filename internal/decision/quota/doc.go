// Package quota decides how many requests of a tenant may run, over all nodes together. One node,
// the holder, grants tokens from a bucket, and entries lease them in batches. It does no I/O and
// reads no clock.
package quota
