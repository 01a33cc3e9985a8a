package caller

import (
	"errors"
	"io"
	"maps"
	"net/http"
)

// hideInTrailer removes from the trailer of an attempt's request what SetTenant removes from its
// headers. A streamed body's trailer is known at the body's end only, and then holds fields that were
// not announced, too.
func (x *exchange) hideInTrailer(out *http.Request) {
	if x.req.Trailer == nil {
		return
	}
	out.Trailer = maps.Clone(x.req.Trailer)
	x.entry.Protocol.SetTenant(out.Trailer, "")
	if x.body.fullyBuffered {
		return
	}
	out.Body = &trailedBody{ReadCloser: out.Body, ended: func() {
		maps.Copy(out.Trailer, x.req.Trailer)
		x.entry.Protocol.SetTenant(out.Trailer, "")
	}}
}

// trailedBody calls ended at the end of the body, before the transport sends the trailer.
type trailedBody struct {
	io.ReadCloser
	ended func()
}

// Read reads from the body.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended()
	}
	return n, err
}
