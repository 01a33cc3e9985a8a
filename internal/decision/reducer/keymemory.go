package reducer

import (
	"cmp"
	"time"
)

// keyState is the state of a key at its home.
type keyState int

const (
	// keyOpen is a key whose call is in progress at this home.
	keyOpen keyState = iota
	// keyRan is a key that ran; its guard may keep the answer.
	keyRan
	// keyFree is a key that has not run and may run.
	keyFree
	// keyDoubtful is a key whose last attempt may have run or may still run.
	keyDoubtful
)

// keyRecord holds a home's state of one key.
type keyRecord struct {
	key         string
	service     string
	fingerprint uint64
	state       keyState
	attempt     AttemptID
	guard       NodeID
	// sent is when the attempt was sent. Guards keep its outcome for longer than homes ask
	// about it.
	sent    time.Time
	expires time.Time
	waiting []*call
}

// memory returns the record in the form that is sent to the next home.
func (k *keyRecord) memory() KeyMemory {
	return KeyMemory{
		Key: k.key, Fingerprint: k.fingerprint, Ran: k.state == keyRan, Free: k.state == keyFree,
		Attempt: k.attempt, Guard: k.guard, Sent: k.sent,
	}
}

// KeyMemory holds the state of one key that a handover sends to the next home. A key with
// neither Ran nor Free set is doubtful.
type KeyMemory struct {
	Key         string
	Fingerprint uint64
	Ran         bool
	Free        bool
	Attempt     AttemptID
	Guard       NodeID
	Sent        time.Time
}

// keyName identifies a key; two services may use the same key.
type keyName struct {
	service string
	key     string
}

func (n keyName) compare(other keyName) int {
	return cmp.Or(cmp.Compare(n.service, other.service), cmp.Compare(n.key, other.key))
}

// keyMemory holds the key records of a home, at most MaxKeys.
type keyMemory struct {
	records map[keyName]*keyRecord
	// expiring holds the records by the time of their first expiry.
	expiring []*keyRecord
}

func (m *keyMemory) init() { m.records = map[keyName]*keyRecord{} }

func (k *keyRecord) name() keyName { return keyName{service: k.service, key: k.key} }

func (m *keyMemory) find(service, key string) *keyRecord {
	return m.records[keyName{service: service, key: key}]
}

// add remembers a key; it is expired later than every key before it.
func (m *keyMemory) add(record *keyRecord) {
	m.records[record.name()] = record
	m.expiring = append(m.expiring, record)
}

// expire forgets keys whose window has passed. A key that is open, or was used
// again, goes to the end of the line.
func (m *keyMemory) expire(now time.Time) {
	for len(m.expiring) > 0 {
		first := m.expiring[0]
		if m.records[first.name()] == first && (first.state == keyOpen || now.Before(first.expires)) {
			if first.state != keyOpen {
				return
			}
			m.expiring = append(m.expiring[1:], first)
			return
		}
		if m.records[first.name()] == first {
			delete(m.records, first.name())
		}
		m.expiring = m.expiring[1:]
	}
}

// stopWaiting forgets that a call waits for another send of its key.
func (m *keyMemory) stopWaiting(c *call) {
	record := m.find(c.service, c.key)
	if record == nil {
		return
	}
	for i, w := range record.waiting {
		if w == c {
			record.waiting = append(record.waiting[:i], record.waiting[i+1:]...)
			return
		}
	}
}
