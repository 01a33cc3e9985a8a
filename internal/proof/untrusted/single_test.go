//go:build linux

package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// upload sends one body and returns the status of its answer.
func (p *process) upload(body io.Reader, length int64, lines http.Header) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/upload/single", body)
	if err != nil {
		return 0, err
	}
	req.Host = host
	req.ContentLength = length
	for name, values := range lines {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("single-%x", rand.Uint64()))
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: time.Minute}).Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against limits that refuse a single request of legal size: the longest body, with a known length and
// in chunks, the longest body that is kept for retries, and the longest head.
func TestLargestLegalRequestsAreServed(t *testing.T) {
	p := startNode(t, crowdLimits)
	for _, length := range []int64{maxBodyBytes, 1 << 20, announcedBytes, 1} {
		for _, announced := range []int64{length, -1} {
			status, err := p.upload(io.LimitReader(zeros{}, length), announced, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, http.StatusOK, qt.Commentf("body of %d bytes, announced as %d", length, announced))
			qt.Check(t, p.upstream.received.Load(), qt.Equals, length)
		}
	}
	status, err := p.upload(bytes.NewReader([]byte("x")), 1, http.Header{"X-Filler": {strings.Repeat("f", maxHeaderBytes-400)}})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	p.check()
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against requests over the plan's limits that are run, and against statuses by which clients would
// send them again.
func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	p := startNode(t, crowdLimits)
	status, err := p.upload(bytes.NewReader([]byte("x")), 1, http.Header{"X-Filler": {strings.Repeat("f", maxHeaderBytes)}})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	conn, err := net.Dial("tcp", p.callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head(1, fmt.Sprintf("Content-Length: %d", maxBodyBytes+1)))
	answer := make([]byte, len("HTTP/1.1 413"))
	_, err = io.ReadFull(conn, answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(answer), qt.Equals, "HTTP/1.1 413")
	// The length of a body in chunks shows only once its request may have run.
	received := p.upstream.received.Load()
	status, err = p.upload(io.LimitReader(zeros{}, maxBodyBytes+1), -1, nil)
	qt.Check(t, err != nil || status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("status %d, error %v", status, err))
	qt.Check(t, p.upstream.received.Load(), qt.Equals, received)
}

// Guards against a single deadline for a whole body: a client in calm sends about 1 KB in each second, for
// several times body_time.
func TestSlowButSteadyUploadIsServed(t *testing.T) {
	p := startNode(t, crowdLimits+"body_time = 1s\n")
	const pieces, pieceBytes = 20, 250
	reader, writer := io.Pipe()
	go func() {
		for range pieces {
			time.Sleep(time.Second * pieceBytes / 1000)
			_, _ = writer.Write(make([]byte, pieceBytes))
		}
		_ = writer.Close()
	}()
	status, err := p.upload(reader, pieces*pieceBytes, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	qt.Check(t, p.upstream.received.Load(), qt.Equals, int64(pieces*pieceBytes))
}

// Guards against HEAD requests that fail because a node waits for a body of the announced length.
func TestHeadIsAnsweredWithTheLength(t *testing.T) {
	p := startNode(t, crowdLimits)
	req, err := http.NewRequest(http.MethodHead, "http://"+p.callers+"/read/head", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	req.Host = host
	req.Header.Set("X-Request-Id", "head")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Check(t, resp.ContentLength, qt.Equals, int64(len("body-head")))
}
