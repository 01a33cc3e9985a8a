package upstream

import (
	"net/http"
	"net/url"
)

// upstreamURL returns the request's URL with the scheme http and the given host:port.
func upstreamURL(req *http.Request, host string) *url.URL {
	u := *req.URL
	u.Scheme = "http"
	u.Host = host
	return &u
}
