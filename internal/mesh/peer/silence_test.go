package peer

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// TestReceiverOfALongBodyMayTakeItsTime sends a body that a guard doesn't read until a
// slot is free, for longer than sent bytes of short calls may stay unacknowledged.
func TestReceiverOfALongBodyMayTakeItsTime(t *testing.T) {
	c := qt.New(t)
	const length = 32 << 20
	var read int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		time.Sleep(3 * silentTime)
		read, _ = io.Copy(io.Discard, req.Body)
	}))
	defer server.Close()
	client := &Client{Counter: &ByteCounter{}}
	client.Prepare()
	req, err := http.NewRequest(http.MethodPost, server.URL, bytes.NewReader(make([]byte, length)))
	c.Assert(err, qt.IsNil)
	resp, err := client.CallTransport(reducer.LengthLong).RoundTrip(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(read, qt.Equals, int64(length))
}
