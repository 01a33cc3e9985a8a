package stream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Log is the platform's log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record
	// may have been added all the same.
	Append(ctx context.Context, name string, record []byte) (int64, error)
	// Read returns the records at offset from and later.
	Read(ctx context.Context, name string, from int64) (Page, error)
}

const (
	appendBackoff    = 250 * time.Millisecond
	maxAppendBackoff = 8 * time.Second
)

// Appender appends records whose answers may be lost; its exported fields are
// set before use.
type Appender struct {
	Log Log
}

// Append appends a record until it is known to be on the log or the context
// ends. After a lost answer it looks the record up by its ID before it sends it
// again. From is an offset that the record can't be before.
func (a *Appender) Append(ctx context.Context, record reducer.Record, from int64) (int64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, oops.Wrapf(err, "encode record %s", record.ID)
	}
	backoff := appendBackoff
	sent := false
	for {
		if sent {
			offset, found, err := a.Find(ctx, record.ID, from)
			if err == nil && found {
				return offset, nil
			}
			if err != nil {
				if Backoff(ctx, &backoff, maxAppendBackoff) != nil {
					return 0, oops.Wrapf(err, "append record %s: given up while the log is unavailable; its state is unknown", record.ID)
				}
				continue
			}
		}
		offset, err := a.Log.Append(ctx, Name, data)
		if err == nil {
			return offset, nil
		}
		sent = true
		if Backoff(ctx, &backoff, maxAppendBackoff) != nil {
			return 0, oops.Wrapf(err, "append record %s: given up while the log is unavailable; its state is unknown", record.ID)
		}
	}
}

// Find returns the offset of the record with the given ID at or after from.
func (a *Appender) Find(ctx context.Context, id string, from int64) (int64, bool, error) {
	next := max(1, from)
	for {
		page, err := a.Log.Read(ctx, Name, next)
		if err != nil {
			return 0, false, err
		}
		for _, entry := range page.Entries {
			var record reducer.Record
			if err := json.Unmarshal(entry.Record, &record); err == nil && record.ID == id {
				return entry.Offset, true, nil
			}
		}
		if len(page.Entries) == 0 {
			return 0, false, nil
		}
		next = page.Next
	}
}
