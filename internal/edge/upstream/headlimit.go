package upstream

import (
	"bufio"
	"errors"
	"io"
	"sync"

	"github.com/tanagerline/tanagerline/internal/edge/http1"
)

// maxAnswerHeadBytes limits the heads that are read for one answer, informational ones
// included.
const maxAnswerHeadBytes = 64 << 10

// errAnswerHeadTooLong is returned when the heads before an answer's body exceed
// maxAnswerHeadBytes.
var errAnswerHeadTooLong = errors.New("the head of the upstream's answer is too long")

// headBuffers holds buffers for the heads of answers.
var headBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, connectionBufferBytes)
	return &b
}}

// headLimit limits what is read from a connection while an answer's head is expected, because
// http.ReadResponse keeps a head of any length in memory. It also records the head, because
// http.ReadResponse accepts heads that are not valid.
type headLimit struct {
	source io.Reader
	// reading is set while a head is expected.
	reading bool
	// left is how many more bytes may be read meanwhile.
	left int
	// head holds the bytes of the head, and those after it that were read with them, or is nil.
	head *[]byte
}

// expectHead starts the limit.
func (h *headLimit) expectHead() {
	h.reading = true
	h.left = maxAnswerHeadBytes
}

// headRead ends the limit: bodies have limits of their own.
func (h *headLimit) headRead() { h.reading = false }

// recordHead starts to record a head, which begins with what the reader has buffered.
func (h *headLimit) recordHead(reader *bufio.Reader) {
	h.head, _ = headBuffers.Get().(*[]byte)
	// Buffered bytes can always be peeked at.
	buffered, _ := reader.Peek(reader.Buffered())
	*h.head = append((*h.head)[:0], buffered...)
}

// checkHead ends the recording and returns an error if the head is not valid.
func (h *headLimit) checkHead() error {
	defer func() {
		headBuffers.Put(h.head)
		h.head = nil
	}()
	return http1.CheckHead(*h.head)
}

// Read reads from the connection. It returns errAnswerHeadTooLong once the limit is reached.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.reading {
		return h.source.Read(p)
	}
	if h.left == 0 {
		return 0, errAnswerHeadTooLong
	}
	n, err := h.source.Read(p[:min(len(p), h.left)])
	h.left -= n
	if h.head != nil {
		*h.head = append(*h.head, p[:n]...)
	}
	return n, err
}
