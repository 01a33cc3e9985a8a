package stream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Log is an append-only log of named streams of JSON records.
type Log interface {
	// Append adds a record to the named stream and returns its offset. An error
	// doesn't rule out that the record was added: the response may have been lost.
	Append(ctx context.Context, name string, record []byte) (int64, error)
	// Read returns a page of the named stream, beginning with the first record whose
	// offset is at least from. The page is empty if there is none yet.
	Read(ctx context.Context, name string, from int64) (Page, error)
}

// The delay before an append is retried doubles from minAppendBackoff up to
// maxAppendBackoff; each delay is randomized as SleepJittered does.
const (
	minAppendBackoff = 250 * time.Millisecond
	maxAppendBackoff = 8 * time.Second
)

// Appender appends records to the stream that all nodes share and retries failed appends
// without adding a record twice.
type Appender struct {
	// Log is the log that holds the stream. It must be set before use.
	Log Log
}

// Append adds a record and returns its offset, retrying until the record is known to be
// in the log or ctx is done. After a failed attempt it searches for the record's ID before
// it tries again, since only the response may have been lost. The search begins at offset
// from: if the record is at a smaller offset, it isn't found and is added again. When
// Append returns an error because ctx is done, the record may or may not be in the log.
func (a *Appender) Append(ctx context.Context, record reducer.Record, from int64) (int64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, oops.Wrapf(err, "encode record %s", record.ID)
	}
	backoff := minAppendBackoff
	sent := false
	for {
		if sent {
			offset, found, err := a.Find(ctx, record.ID, from)
			if err == nil && found {
				return offset, nil
			}
			if err != nil {
				if SleepBackoff(ctx, &backoff, maxAppendBackoff) != nil {
					return 0, oops.Wrapf(err, "append record %s: stopped retrying while the log is unavailable; its state is unknown", record.ID)
				}
				continue
			}
		}
		offset, err := a.Log.Append(ctx, RecordStream, data)
		if err == nil {
			return offset, nil
		}
		sent = true
		if SleepBackoff(ctx, &backoff, maxAppendBackoff) != nil {
			return 0, oops.Wrapf(err, "append record %s: stopped retrying while the log is unavailable; its state is unknown", record.ID)
		}
	}
}

// Find searches the shared stream for the record with the given ID, beginning at offset
// from. It returns the record's offset and whether the record was found.
func (a *Appender) Find(ctx context.Context, id string, from int64) (int64, bool, error) {
	next := max(1, from)
	for {
		page, err := a.Log.Read(ctx, RecordStream, next)
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
