package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// maxWholeAnswerBytes bounds an answer that is kept until it is complete.
const maxWholeAnswerBytes = 16 << 20

// errAnswerTooLong is an answer that does not fit into the node's memory.
var errAnswerTooLong = errors.New("the answer is longer than a node keeps whole")

// ReadWhole reads an answer's body to its end, so that one that breaks off is never passed
// on as if it were complete.
func ReadWhole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWholeAnswerBytes+1))
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	if len(body) > maxWholeAnswerBytes {
		return errAnswerTooLong
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	resp.TransferEncoding = nil
	return nil
}
