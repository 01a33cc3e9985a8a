package peer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a HEAD request that fails because a body of the announced length is waited for, and
// against the loss of that length.
func TestAnswerToHeadIsWholeWithoutABody(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1234")
	}))
	defer server.Close()
	resp, err := http.Head(server.URL)
	c.Assert(err, qt.IsNil)
	c.Assert(ReadWhole(resp), qt.IsNil)
	c.Assert(resp.ContentLength, qt.Equals, int64(1234))
	c.Assert(resp.Header.Get("Content-Length"), qt.Equals, "1234")
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.HasLen, 0)
}
