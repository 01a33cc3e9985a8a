package stream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Reader feeds the log's records to a loop; its exported fields are set before Run.
type Reader struct {
	Log  Log
	Loop *loop.Loop
	// Period is the mean time between two reads.
	Period time.Duration
	// Failed is told of a read that failed.
	Failed func(error)
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for {
		more, err := r.readPage(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.Failed(err)
		}
		if more {
			continue
		}
		if PauseAbout(ctx, r.Period) != nil {
			return
		}
	}
}

// readPage reads once and reports whether there may be more to read.
func (r *Reader) readPage(ctx context.Context) (bool, error) {
	var next int64
	r.Loop.Inspect(func(state *reducer.Reducer) { next = state.LogNext() })
	page, err := r.Log.Read(ctx, Name, max(1, next))
	if err != nil {
		return false, err
	}
	r.Loop.Do(reducer.LogOpened{Earliest: page.Earliest})
	for _, entry := range page.Entries {
		var record reducer.Record
		if err := json.Unmarshal(entry.Record, &record); err != nil {
			// A record that is not ours is passed over, as on every other node.
			record = reducer.Record{}
		}
		r.Loop.Do(reducer.RecordRead{Offset: entry.Offset, Record: record})
	}
	return len(page.Entries) > 0, nil
}
