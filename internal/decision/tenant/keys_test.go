package tenant

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A digest that only shares the indexed prefix with a known one must not get its tenant.
func TestOwnerNeedsTheWholeDigest(t *testing.T) {
	var keys Keys
	qt.Assert(t, keys.Owner("0123456789"), qt.Equals, -1)
	keys.Add("0123456789", 0)
	keys.Add("01234567ab", 1)
	keys.Add("01234567ab", 2)
	for digest, want := range map[string]int{"0123456789": 0, "01234567ab": 1, "01234567": -1, "0123456789a": -1, "": -1} {
		qt.Check(t, keys.Owner(digest), qt.Equals, want, qt.Commentf("%q", digest))
	}
}
