package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/tanagerline/tanagerline/internal/edge/budget"
)

// MaxWholeAnswerBytes bounds an answer that is kept until it is complete.
const MaxWholeAnswerBytes = 4 << 20

// errAnswerTooLong is an answer that does not fit into the node's memory.
var errAnswerTooLong = errors.New("the answer is longer than a node keeps whole")

// ReadWhole reads an answer's body to its end, so that one that breaks off is never passed
// on as if it were complete.
func ReadWhole(resp *http.Response) error {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		// The length is that of the answer to GET: there is no body, but only its end, after which the
		// connection is reused.
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		resp.Body = http.NoBody
		return err
	}
	if resp.ContentLength > MaxWholeAnswerBytes {
		_ = resp.Body.Close()
		return errAnswerTooLong
	}
	body, err := readUpTo(resp)
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	if len(body) > MaxWholeAnswerBytes {
		return errAnswerTooLong
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	resp.TransferEncoding = nil
	return nil
}

// readUpTo reads a body to its end, or one byte more than MaxWholeAnswerBytes. The buffer
// grows as bytes arrive, so that an announced length costs nothing.
func readUpTo(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(resp.Body, MaxWholeAnswerBytes+1))
	}
	body, err := new(budget.Account).ReadAll(resp.Body, resp.ContentLength, &budget.Pace{})
	if err != nil {
		return nil, err
	}
	if int64(len(body)) < resp.ContentLength {
		return nil, io.ErrUnexpectedEOF
	}
	// The body's end is known only once it was read: the connection is reused then.
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 1))
	if err != nil || n > 0 {
		return nil, errors.Join(err, errAnswerTooLong)
	}
	return body, nil
}
