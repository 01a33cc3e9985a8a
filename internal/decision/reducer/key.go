package reducer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
)

// issuedPrefix begins every key that a node issued.
const issuedPrefix = "tgl1"

// issuedKey is an idempotency key that a node issued. Its incarnation identifies the process
// that is its home.
type issuedKey struct {
	incarnation uint64
	// issued has millisecond precision in the text form.
	issued   time.Time
	sequence uint64
}

// String returns the key's text form.
func (k issuedKey) String() string {
	return fmt.Sprintf("%s-%016x-%x-%x", issuedPrefix, k.incarnation, k.issued.UnixMilli(), k.sequence)
}

// parseIssuedKey parses a key that a node issued. It returns false for keys of callers.
func parseIssuedKey(key string) (issuedKey, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 4 || parts[0] != issuedPrefix {
		return issuedKey{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return issuedKey{}, false
	}
	milliseconds, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil {
		return issuedKey{}, false
	}
	sequence, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return issuedKey{}, false
	}
	return issuedKey{incarnation: incarnation, issued: time.UnixMilli(milliseconds), sequence: sequence}, true
}

// keyCreationTime returns when a caller created its key: the timestamp in a UUIDv7 or ULID, else
// firstSent, which is zero when the caller did not give it.
func keyCreationTime(key string, firstSent time.Time) time.Time {
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		seconds, nanoseconds := id.Time().UnixTime()
		return time.Unix(seconds, nanoseconds)
	}
	if id, err := ulid.ParseStrict(key); err == nil {
		return ulid.Time(id.Time())
	}
	return firstSent
}
