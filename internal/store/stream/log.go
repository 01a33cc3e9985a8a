package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/edge/http1"
)

// RecordStream is the name of the stream in which all tanagerline nodes share their records.
const RecordStream = "tanagerline"

const (
	// requestTimeout limits one request of Client to the log, including reading the
	// response body.
	requestTimeout = 3 * time.Second
	// maxPageBytes limits the bytes read from any response body, and the size of a record
	// that the in-memory log accepts over HTTP. A longer response is cut off without an
	// error, so decoding it fails.
	maxPageBytes = 4 << 20
)

// Entry is a record of a stream together with its offset.
type Entry struct {
	// Offset is the record's position in the stream; the first record has offset 1.
	Offset int64 `json:"offset"`
	// Record is the record as JSON.
	Record json.RawMessage `json:"record"`
}

// Page is the result of one read: consecutive entries of a stream.
type Page struct {
	// Earliest is the smallest offset that the stream still retains.
	Earliest int64 `json:"earliest"`
	// Next is the offset at which the following read should begin.
	Next int64 `json:"next"`
	// Entries are ordered by offset.
	Entries []Entry `json:"entries"`
}

// StatusError is returned when a server responds with a status other than 200.
type StatusError struct {
	// URL is the URL of the request.
	URL string
	// Status is the HTTP status code of the response.
	Status int
}

// Error returns a message with the URL, the status and what to check.
func (e StatusError) Error() string {
	return fmt.Sprintf("%s returned HTTP status %d; check the configured log address and the service behind it", e.URL, e.Status)
}

// Client is a Log that is reached over HTTP. Its exported fields must be set before use.
type Client struct {
	// BaseURL is the log's URL without a trailing slash, such as http://127.0.0.1:7000.
	BaseURL string
	// HTTP sends the requests. Its timeout limits each of them.
	HTTP *http.Client
}

// NewClient returns a client for the log at the URL base. It opens its connections with
// dial, or with a default dialer if dial is nil.
func NewClient(base string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, DisableCompression: true}
	return &Client{BaseURL: base, HTTP: &http.Client{Timeout: requestTimeout, Transport: transport, CheckRedirect: KeepRedirect}}
}

// Append adds a record to the named stream and returns its offset. An error doesn't rule
// out that the record was added: the response may have been lost.
func (c *Client) Append(ctx context.Context, name string, record []byte) (int64, error) {
	data, err := c.do(ctx, http.MethodPost, c.url(name, nil), record)
	if err != nil {
		return 0, err
	}
	var appended AppendResponse
	if err := json.Unmarshal(data, &appended); err != nil {
		return 0, oops.Wrapf(err, "log %s: decode the response to an append", c.BaseURL)
	}
	return appended.Offset, nil
}

// Read returns a page of the named stream, beginning with the first record whose offset
// is at least from.
func (c *Client) Read(ctx context.Context, name string, from int64) (Page, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	data, err := c.do(ctx, http.MethodGet, c.url(name, query), nil)
	if err != nil {
		return Page{}, err
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, oops.Wrapf(err, "log %s: decode the response to a read", c.BaseURL)
	}
	return page, nil
}

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	// Offset is the offset of the added record.
	Offset int64 `json:"offset"`
}

func (c *Client) url(name string, query url.Values) string {
	u := c.BaseURL + "/streams/" + url.PathEscape(name)
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	resp, err := DoRequest(ctx, c.HTTP, method, target, body)
	return resp.Body, err
}

// Response is the response to a request.
type Response struct {
	// Header holds the headers. It is nil if no response was read.
	Header http.Header
	// Body is the body, cut off after maxPageBytes, or nil if the status is not 200.
	Body []byte
}

// KeepRedirect is an http.Client.CheckRedirect that returns a redirection as the response: a store and
// its records are only at the configured address.
func KeepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// DoRequest sends one HTTP request and returns its response. It returns a StatusError, with the
// response's headers, if the status is not 200.
func DoRequest(ctx context.Context, client *http.Client, method, target string, body []byte) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Response{}, oops.Wrapf(err, "create request for %s", target)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, oops.Wrapf(err, "request to %s", req.URL.Host)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := http1.CheckResponse(resp); err != nil {
		return Response{}, oops.Wrapf(err, "response from %s", req.URL.Host)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return Response{}, oops.Wrapf(err, "read response from %s", req.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return Response{Header: resp.Header}, StatusError{URL: target, Status: resp.StatusCode}
	}
	return Response{Header: resp.Header, Body: data}, nil
}
