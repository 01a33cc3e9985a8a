package stream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Reader polls the stream that all nodes share and passes its records to a decision loop. Its exported
// fields must be set before Run is called.
type Reader struct {
	// Log is the log that holds the stream.
	Log Log
	// Loop receives a LogOpened event for each page and a RecordRead event for each record.
	Loop *loop.Loop
	// PollInterval is the mean delay after a read that failed or returned no records. A page
	// with records is followed by the next read without a delay.
	PollInterval time.Duration
	// OnError is called with the error of each failed read.
	OnError func(error)
}

// Run reads the stream from where the loop's state ends until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	for {
		more, err := r.readPage(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.OnError(err)
		}
		if more {
			continue
		}
		if SleepJittered(ctx, r.PollInterval) != nil {
			return
		}
	}
}

// readPage passes one page to the loop and reports whether there may be more records to
// read.
func (r *Reader) readPage(ctx context.Context) (bool, error) {
	var next int64
	r.Loop.Inspect(func(state *reducer.Reducer) { next = state.LogNext() })
	page, err := r.Log.Read(ctx, RecordStream, max(1, next))
	if err != nil {
		return false, err
	}
	r.Loop.Do(reducer.LogOpened{Earliest: page.Earliest})
	for _, entry := range page.Entries {
		var record reducer.Record
		if err := json.Unmarshal(entry.Record, &record); err != nil {
			// The loop still gets an empty record at this offset, so that the state
			// advances past it in the same way on every node.
			record = reducer.Record{}
		}
		r.Loop.Do(reducer.RecordRead{Offset: entry.Offset, Record: record})
	}
	return len(page.Entries) > 0, nil
}
