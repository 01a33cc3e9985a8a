// Package tenant decides which tenant a request belongs to. It does no I/O and holds no access
// keys, only their digests.
package tenant
