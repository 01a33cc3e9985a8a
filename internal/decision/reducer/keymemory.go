package reducer

import (
	"cmp"
	"time"
)

// keyState is the state of a key at its home.
type keyState int

const (
	// keyStateInProgress is a key whose call is in progress at this home.
	keyStateInProgress keyState = iota
	// keyStateRan is a key that ran; its guard may keep the answer.
	keyStateRan
	// keyStateNotRun is a key that has not run and may run.
	keyStateNotRun
	// keyStateUnknown is a key whose last attempt may have run or may still run.
	keyStateUnknown
)

// keyRecord holds a home's state of one key.
type keyRecord struct {
	key     string
	service string
	// fingerprint identifies the request, so that a key reused for another one is rejected.
	fingerprint uint64
	state       keyState
	// attempt is the last attempt sent for the key, or empty; guard is where it was sent.
	attempt AttemptID
	guard   NodeID
	// sent is when the attempt was sent. Guards keep its outcome for twice KeyWindow, and
	// homes ask for it only within KeyWindow, so that a "not run" can be trusted.
	sent time.Time
	// expires is when the record may be removed; an open record is kept longer.
	expires time.Time
	// waiting holds the calls with the same key that wait for the call in progress to end.
	waiting []*call
}

// handoverKey returns the record in the form that is sent to the next home.
func (k *keyRecord) handoverKey() HandoverKey {
	return HandoverKey{
		Key: k.key, Fingerprint: k.fingerprint, Ran: k.state == keyStateRan, Free: k.state == keyStateNotRun,
		Attempt: k.attempt, Guard: k.guard, Sent: k.sent,
	}
}

// HandoverKey holds the state of one key that a handover sends to the next home. A key with
// neither Ran nor Free set is doubtful.
type HandoverKey struct {
	Key string
	// Fingerprint identifies the request that the key was first used for.
	Fingerprint uint64
	// Ran reports whether the key's request ran.
	Ran bool
	// Free reports whether the key's request has not run and may run.
	Free bool
	// Attempt is the last attempt sent for the key, or empty.
	Attempt AttemptID
	// Guard is the node that Attempt was sent to.
	Guard NodeID
	// Sent is when Attempt was sent, by the clock of its sender.
	Sent time.Time
}

// keyName identifies a key; two services may use the same key.
type keyName struct {
	service string
	key     string
}

// compare orders key names by service, then by key.
func (n keyName) compare(other keyName) int {
	return cmp.Or(cmp.Compare(n.service, other.service), cmp.Compare(n.key, other.key))
}

// keyStore holds the key records of a home, at most MaxKeys.
type keyStore struct {
	records map[keyName]*keyRecord
	// expiring holds the records in the order in which they were added, except that expire
	// moves open ones to the end. A replaced record stays until expire drops it.
	expiring []*keyRecord
}

func (m *keyStore) init() { m.records = map[keyName]*keyRecord{} }

func (k *keyRecord) name() keyName { return keyName{service: k.service, key: k.key} }

// find returns the record of a key, or nil.
func (m *keyStore) find(service, key string) *keyRecord {
	return m.records[keyName{service: service, key: key}]
}

// add stores a record and replaces an earlier one of the same key. Every record gets the same
// lifetime, so appending to expiring keeps it ordered by first expiry.
func (m *keyStore) add(record *keyRecord) {
	m.records[record.name()] = record
	m.expiring = append(m.expiring, record)
}

// expire removes expired records from the front of expiring. It stops at a record that has not
// expired; one whose key was used again thus keeps the records behind it longer. An open
// record moves to the end and ends the scan, which would not end if all records were open.
func (m *keyStore) expire(now time.Time) {
	for len(m.expiring) > 0 {
		first := m.expiring[0]
		if m.records[first.name()] == first && (first.state == keyStateInProgress || now.Before(first.expires)) {
			if first.state != keyStateInProgress {
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

// stopWaiting removes a call from those that wait for another call with the same key.
func (m *keyStore) stopWaiting(c *call) {
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
