package caller

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newStreamedBody returns a body that is longer than what is buffered.
func newStreamedBody(c *qt.C, sent []byte) *requestBody {
	c.Helper()
	req := httptest.NewRequest(http.MethodPost, "/vault/film", io.MultiReader(bytes.NewReader(sent)))
	body, err := newRequestBody(req, bodyLimits{maxBuffered: 1 << 10, bufferUnknownLength: true})
	c.Assert(err, qt.IsNil)
	return body
}

// Whenever a transport reads a streamed body beside the end of its attempt, either the body is
// spent or the next attempt gets all of it.
func TestStreamedBodyIsSpentOrWhole(t *testing.T) {
	c := qt.New(t)
	sent := numberedBytes(64 << 10)
	for range 500 {
		body := newStreamedBody(c, sent)
		ended := body.newReader()
		var reading sync.WaitGroup
		reading.Go(func() { _, _ = io.Copy(io.Discard, ended) })
		if body.endAttempt() {
			reading.Wait()
			continue
		}
		received, err := io.ReadAll(body.newReader())
		reading.Wait()
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(received, sent), qt.IsTrue)
	}
}

// An attempt that has begun to read a streamed body spends it, and reads no more after its end.
func TestReadOfStreamedBodySpendsIt(t *testing.T) {
	c := qt.New(t)
	body := newStreamedBody(c, numberedBytes(64<<10))
	reader := body.newReader()
	_, err := reader.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(body.endAttempt(), qt.IsTrue)
	_, err = reader.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorIs, errAttemptEnded)
}

// A client's malformed trailer may hold its access key, which the answer must not repeat.
func TestMalformedTrailerIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(
		"POST /vault HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nAuthorization Token k\r\n\r\n")))
	c.Assert(err, qt.IsNil)
	_, err = newRequestBody(req, bodyLimits{maxBuffered: 64, bufferUnknownLength: true})
	c.Assert(err, qt.ErrorMatches, ".*Token k.*")
	c.Assert(bodyDetail(err), qt.Equals, "body: malformed")
	c.Assert(bodyDetail(errBodyTooLong), qt.Equals, "body: "+errBodyTooLong.Error())
}
