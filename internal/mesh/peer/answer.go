package peer

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// RelayBody copies an answer's body and trailers to a caller, passing each part
// on as it comes. It returns the bytes copied, and an error when the answer broke
// off or the caller went away; the caller's connection must then be broken too.
func RelayBody(w http.ResponseWriter, resp *http.Response) (int64, error) {
	buffer, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	var copied int64
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return copied, writeErr
			}
			copied += int64(n)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return copied, err
		}
		if resp.ContentLength < 0 || copied < resp.ContentLength {
			_ = controller.Flush()
		}
	}
	for name, values := range resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return copied, nil
}

// WriteHead writes an answer's status and headers for RelayBody.
func WriteHead(w http.ResponseWriter, resp *http.Response) {
	header := w.Header()
	CopyHeaders(header, resp.Header)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}
