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
)

// Name is the stream that holds the system's records.
const Name = "tanagerline"

const (
	requestTimeout = 3 * time.Second
	maxPageBytes   = 4 << 20
)

// Entry is one record at its offset.
type Entry struct {
	Offset int64           `json:"offset"`
	Record json.RawMessage `json:"record"`
}

// Page is a part of a stream. Offsets begin at one.
type Page struct {
	// Earliest is the first offset that the stream still keeps.
	Earliest int64 `json:"earliest"`
	// Next is the offset to read from next.
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
}

// StatusError is an answer of the log that is not a success.
type StatusError struct {
	URL    string
	Status int
}

// Error names the URL and the remedy.
func (e StatusError) Error() string {
	return fmt.Sprintf("log %s answered %d; check the log's address and its service", e.URL, e.Status)
}

// Client speaks HTTP to the log; its exported fields are set before use.
type Client struct {
	// Base is the log's URL, such as http://127.0.0.1:7000.
	Base string
	// HTTP sends the requests.
	HTTP *http.Client
}

// NewClient returns a client of the log at base, whose connections dial makes.
func NewClient(base string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, DisableCompression: true}
	return &Client{Base: base, HTTP: &http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Append adds a record and returns its offset. After an error the record may
// have been added all the same.
func (c *Client) Append(ctx context.Context, name string, record []byte) (int64, error) {
	data, err := c.do(ctx, http.MethodPost, c.url(name, nil), record)
	if err != nil {
		return 0, err
	}
	var appended Appended
	if err := json.Unmarshal(data, &appended); err != nil {
		return 0, oops.Wrapf(err, "log %s: the answer to an append is not JSON", c.Base)
	}
	return appended.Offset, nil
}

// Read returns the records at offset from and later.
func (c *Client) Read(ctx context.Context, name string, from int64) (Page, error) {
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	data, err := c.do(ctx, http.MethodGet, c.url(name, query), nil)
	if err != nil {
		return Page{}, err
	}
	var page Page
	if err := json.Unmarshal(data, &page); err != nil {
		return Page{}, oops.Wrapf(err, "log %s: the answer to a read is not JSON", c.Base)
	}
	return page, nil
}

// Appended is the log's answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

func (c *Client) url(name string, query url.Values) string {
	u := c.Base + "/streams/" + url.PathEscape(name)
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	return Call(ctx, c.HTTP, method, target, body)
}

// Call sends one request to a store and returns its answer's body, or a StatusError for
// an answer that is not a success.
func Call(ctx context.Context, client *http.Client, method, target string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "log %s", target)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, oops.Wrapf(err, "log %s", req.URL.Host)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, oops.Wrapf(err, "log %s: the answer broke off", req.URL.Host)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, StatusError{URL: target, Status: resp.StatusCode}
	}
	return data, nil
}
