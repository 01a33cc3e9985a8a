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
	testTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	errLost  = errors.New("the answer is lost")
)

// lossyLog takes records and hides the answers to some appends.
type lossyLog struct {
	Memory
	lost  int
	fails int
}

// Append adds the record, or fails before or after that.
func (l *lossyLog) Append(ctx context.Context, name string, record []byte) (int64, error) {
	if l.fails > 0 {
		l.fails--
		return 0, errLost
	}
	offset, err := l.Memory.Append(ctx, name, record)
	if l.lost > 0 {
		l.lost--
		return 0, errLost
	}
	return offset, err
}

func TestAppendLooksUpARecordWhoseAnswerIsLost(t *testing.T) {
	tests := []struct {
		name string
		log  *lossyLog
	}{
		{name: "answered", log: &lossyLog{}},
		{name: "answer lost", log: &lossyLog{lost: 1}},
		{name: "append failed", log: &lossyLog{fails: 1}},
		{name: "append failed, then answer lost", log: &lossyLog{fails: 1, lost: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			_, err := test.log.Memory.Append(ctx, Name, []byte(`{"id":"before"}`))
			c.Assert(err, qt.IsNil)
			appender := &Appender{Log: test.log}
			offset, err := appender.Append(ctx, reducer.Record{ID: "plan-1"}, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(offset, qt.Equals, int64(2))
			page, err := test.log.Read(ctx, Name, 1)
			c.Assert(err, qt.IsNil)
			c.Assert(page.Entries, qt.HasLen, 2)
		})
	}
}

func TestClientSpeaksToTheLog(t *testing.T) {
	c := qt.New(t)
	memory := &Memory{}
	server := httptest.NewServer(memory.Handler())
	defer server.Close()
	client := NewClient(server.URL, nil)
	for want := int64(1); want <= 3; want++ {
		offset, err := client.Append(context.Background(), Name, []byte(`{"id":"x"}`))
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, want)
	}
	memory.Truncate(Name, 2)
	page, err := client.Read(context.Background(), Name, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Earliest, qt.Equals, int64(2))
	c.Assert(page.Next, qt.Equals, int64(4))
	c.Assert(page.Entries, qt.HasLen, 2)
	_, err = client.Append(context.Background(), Name, []byte("not JSON"))
	c.Assert(err, qt.ErrorMatches, ".*answered 400; check the log's address.*")
}

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
		r.Step(testTime, reducer.LogOpened{Earliest: 1})
		r.Step(testTime, reducer.RecordRead{Offset: 1, Record: record})
		r.Step(testTime, reducer.RecordRead{Offset: 2, Record: record})
		r.Step(testTime, reducer.Tick{})
	})
}
