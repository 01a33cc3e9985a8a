package stream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

var (
	startTime       = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	errResponseLost = errors.New("response lost")
)

// lossyLog is a log in memory whose appends return errors, with or without adding the
// record.
type lossyLog struct {
	MemoryLog
	// lostResponses is the number of appends that add the record and still return an error.
	lostResponses int
	// failedAppends is the number of appends, before those, that add nothing and return an error.
	failedAppends int
}

// Append returns errResponseLost for the first failedAppends calls without adding the
// record, and for the next lostResponses calls after adding it.
func (l *lossyLog) Append(ctx context.Context, name string, record []byte) (int64, error) {
	if l.failedAppends > 0 {
		l.failedAppends--
		return 0, errResponseLost
	}
	offset, err := l.MemoryLog.Append(ctx, name, record)
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, errResponseLost
	}
	return offset, err
}

// An append whose response is lost must not add the record a second time.
func TestAppendDoesNotDuplicateARecordAfterALostResponse(t *testing.T) {
	tests := []struct {
		name string
		log  *lossyLog
	}{
		{name: "response received", log: &lossyLog{}},
		{name: "response lost", log: &lossyLog{lostResponses: 1}},
		{name: "append failed", log: &lossyLog{failedAppends: 1}},
		{name: "append failed, then response lost", log: &lossyLog{failedAppends: 1, lostResponses: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			_, err := test.log.MemoryLog.Append(ctx, RecordStream, []byte(`{"id":"before"}`))
			c.Assert(err, qt.IsNil)
			appender := &Appender{Log: test.log}
			offset, err := appender.Append(ctx, reducer.Record{ID: "plan-1"}, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(offset, qt.Equals, int64(2))
			page, err := test.log.Read(ctx, RecordStream, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Entries, qt.HasLen, 2)
		})
	}
}

// The client reads and appends over HTTP, also after old records are dropped, and returns
// the status of a rejected append.
func TestClientAppendsAndReads(t *testing.T) {
	c := qt.New(t)
	memory := &MemoryLog{}
	server := httptest.NewServer(memory.Handler())
	defer server.Close()
	client := NewClient(server.URL, nil)
	for want := int64(1); want <= 3; want++ {
		offset, err := client.Append(context.Background(), RecordStream, []byte(`{"id":"x"}`))
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, want)
	}
	memory.Truncate(RecordStream, 2)
	page, err := client.Read(context.Background(), RecordStream, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Earliest, qt.Equals, int64(2))
	c.Assert(page.Next, qt.Equals, int64(4))
	c.Assert(page.Entries, qt.HasLen, 2)
	_, err = client.Append(context.Background(), RecordStream, []byte("not JSON"))
	c.Assert(err, qt.ErrorMatches, ".*returned HTTP status 400; check the configured log address.*")
}

// FuzzRecord checks that no record on the log makes the reducer panic.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"id":"p","plan":{"id":"p","base":0,"services":[{"name":"a","kinds":[]}]}}`))
	f.Add([]byte(`{"id":"s","snapshot":{"as_of":3,"tables":[{"service":"a","shares":[1],"cuts":[]}]}}`))
	f.Add([]byte(`{"id":"t","table":{"service":"a","kind":"handover","partitions":[-1,99]}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var record reducer.Record
		if json.Unmarshal(data, &record) != nil {
			return
		}
		r := &reducer.Reducer{Settings: reducer.DefaultSettings(), Self: reducer.MemberSpec{Address: "a", Incarnation: 1}}
		r.Step(startTime, reducer.LogOpened{Earliest: 1})
		r.Step(startTime, reducer.RecordRead{Offset: 1, Record: record})
		r.Step(startTime, reducer.RecordRead{Offset: 2, Record: record})
		r.Step(startTime, reducer.Tick{})
	})
}
