package connector

import "net/http"

// NewClient returns an HTTP client that returns redirects as answers. A client that follows them
// would repeat a call, or take the answer to a GET for one that confirms it.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: returnRedirect}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
