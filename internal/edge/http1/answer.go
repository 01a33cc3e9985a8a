package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	// leastStatus and mostStatus are the least and the greatest status of an answer.
	leastStatus = 100
	mostStatus  = 599
	// maxQuotedBytes limits the part of a line that an error quotes.
	maxQuotedBytes = 40
)

// ErrMalformed is wrapped by the errors of answers that are none by RFC 9112.
var ErrMalformed = errors.New("malformed HTTP answer")

// CheckHead checks the head of an answer as it arrived, up to the empty line at its end. What follows the
// head is ignored. It returns an error that wraps ErrMalformed.
func CheckHead(data []byte) error {
	line, rest, found := nextLine(data)
	if !found {
		return malformed("status line", line)
	}
	oldVersion, ok := checkStatusLine(line)
	if !ok {
		return malformed("status line", line)
	}
	var transferEncoding, contentLength bool
	for {
		line, rest, found = nextLine(rest)
		if !found {
			return malformed("head without its end", line)
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !validText(value) {
			return malformed("field", line)
		}
		transferEncoding = transferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		contentLength = contentLength || bytes.EqualFold(name, []byte("Content-Length"))
	}
	if transferEncoding && (contentLength || oldVersion) {
		// Receivers disagree about where such an answer ends.
		return malformed("framing", nil)
	}
	return nil
}

// CheckResponse checks the status and the field names of an answer that was parsed by net/http. It returns an
// error that wraps ErrMalformed.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > mostStatus {
		return malformed("status", []byte(resp.Status))
	}
	return CheckFieldNames(resp.Header)
}

// CheckFieldNames checks the names of header fields or trailers. It returns an error that wraps ErrMalformed.
func CheckFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field", []byte(name))
		}
	}
	return nil
}

// malformed returns the error for a part of an answer.
func malformed(part string, text []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, part, text[:min(len(text), maxQuotedBytes)])
}

// nextLine returns the first line of data without its end, and what follows it.
func nextLine(data []byte) (line, rest []byte, found bool) {
	line, rest, found = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest, found
}

// checkStatusLine checks a status line such as "HTTP/1.1 200 OK"; the reason may be missing. It reports
// whether the version is HTTP/1.0.
func checkStatusLine(line []byte) (oldVersion, ok bool) {
	version, rest, found := bytes.Cut(line, []byte(" "))
	oldVersion = string(version) == "HTTP/1.0"
	if !found || (!oldVersion && string(version) != "HTTP/1.1") {
		return false, false
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	const codeDigits = 3
	if len(code) != codeDigits || !validText(reason) {
		return false, false
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return false, false
		}
		status = 10*status + int(digit-'0')
	}
	return oldVersion, status >= leastStatus && status <= mostStatus
}

// validText reports whether a field's value or a reason has no control bytes but tabs.
func validText(text []byte) bool {
	for _, c := range text {
		const deleteByte = 0x7f
		if (c < ' ' && c != '\t') || c == deleteByte {
			return false
		}
	}
	return true
}
