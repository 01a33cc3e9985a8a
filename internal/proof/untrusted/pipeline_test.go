//go:build linux

package untrusted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipelinedRequests is the number of requests that a client of a crowd pipelines.
const pipelinedRequests = 64

// reads returns the heads of pipelined requests for a path, with further header lines.
func reads(path string, number, count int, lines ...string) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "GET %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: pipelined-%d-%d\r\n%s\r\n", path, i, host, number, i, strings.Join(lines, ""))
	}
	return b.String()
}

// Guards against answers that are kept for clients which pipeline many requests and read nothing.
func TestPipelinedAnswersThatNobodyReads(t *testing.T) {
	p := startNode(t, crowdLimits)
	runCrowd(t, p, p.callers, func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, reads(largePath, number, pipelinedRequests))
	})
}

// Guards against answers that are kept for clients which read nothing, where each request waits for the answer
// before it.
func TestAnswersThatNobodyReads(t *testing.T) {
	p := startNode(t, crowdLimits)
	runCrowd(t, p, p.callers, func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		for i := range pipelinedRequests {
			_, _ = io.WriteString(conn, fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: unread-%d-%d\r\n"+
				"Content-Length: 1\r\n\r\nx", largeUploadPath, i, host, number, i))
		}
	})
}

// Guards against long heads of pipelined requests that are all kept until their answers are read.
func TestPipelinedLongHeads(t *testing.T) {
	p := startNode(t, crowdLimits)
	line := "X-Filler: " + strings.Repeat("f", maxHeaderBytes-1<<10) + "\r\n"
	runCrowd(t, p, p.callers, func(conn net.Conn, number int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, reads("/read/", number, pipelinedRequests, line))
	})
}

// Guards against heads without end behind pipelined requests, when net/http no longer limits them.
func TestPipelinedHeadsWithoutEnd(t *testing.T) {
	p := startNode(t, crowdLimits)
	runCrowd(t, p, p.callers, func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, reads("/read/", number, 2)+"GET /read/endless HTTP/1.1\r\n")
		switch number % 3 {
		case 0:
			_, _ = io.WriteString(conn, "X-Filler: ")
			writeUntil(conn, bytes.Repeat([]byte("f"), 16<<10), endlessBytes)
		case 1:
			writeUntil(conn, bytes.Repeat([]byte("a:\n"), 5<<10), endlessBytes)
		default:
			// The head stops short of its end.
			_, _ = conn.Write(bytes.Repeat([]byte("a:\n"), 5<<10))
		}
	})
}

// Guards against a plan's limit on heads that no longer holds once a client has pipelined: the head is over the
// limit of the plan and below that of the settings, and never complete.
func TestPlanLimitsPipelinedHeads(t *testing.T) {
	p := startNode(t, crowdLimits)
	conn, err := net.Dial("tcp", p.callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, reads("/read/", 0, 2)+"GET /read/long HTTP/1.1\r\nX-Filler: "+strings.Repeat("f", 2*maxHeaderBytes))
	reader := bufio.NewReader(conn)
	for _, status := range []int{http.StatusOK, http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		resp, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		qt.Check(t, resp.StatusCode, qt.Equals, status)
	}
}
