// Package tenant decides which tenant a request belongs to and which regions may serve it. It
// performs no I/O and holds no access keys, only their digests.
package tenant
