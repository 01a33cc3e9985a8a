package upstream

import (
	"net/http"
	"net/url"
)

// upstreamURL returns the request's path and query at another host.
func upstreamURL(req *http.Request, host string) *url.URL {
	u := *req.URL
	u.Scheme = "http"
	u.Host = host
	return &u
}
