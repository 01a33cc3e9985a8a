package tenant

import "crypto/subtle"

// prefixLength is the length of the digest prefix by which keys are indexed. Only this prefix of a
// digest can be learned from the time that a lookup takes.
const prefixLength = 8

// Keys maps the digests of access keys to their owners.
type Keys struct {
	byPrefix map[string][]ownedKey
}

// ownedKey is the digest of an access key and the index of its owner.
type ownedKey struct {
	digest string
	owner  int
}

// Add assigns a key's digest to an owner, a non-negative index. The first owner keeps a digest that
// is added twice.
func (k *Keys) Add(digest string, owner int) {
	if k.byPrefix == nil {
		k.byPrefix = map[string][]ownedKey{}
	}
	prefix := digest[:min(prefixLength, len(digest))]
	k.byPrefix[prefix] = append(k.byPrefix[prefix], ownedKey{digest: digest, owner: owner})
}

// Owner returns the owner of a key by its digest, or -1 for an unknown key. Digests with the same
// prefix are compared in constant time.
func (k *Keys) Owner(digest string) int {
	owner := -1
	for _, key := range k.byPrefix[digest[:min(prefixLength, len(digest))]] {
		if subtle.ConstantTimeCompare([]byte(key.digest), []byte(digest)) == 1 && owner < 0 {
			owner = key.owner
		}
	}
	return owner
}
