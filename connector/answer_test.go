package connector_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/connector"
)

// dialAnswering opens connections to a server that answers each request with the same bytes and
// closes the connection. It uses TLS if config is not nil.
func dialAnswering(answer string, config *tls.Config) connector.Network {
	return connector.Network{Dial: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		if config != nil {
			server = tls.Server(server, config)
		}
		go func() {
			defer func() { _ = server.Close() }()
			if request, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(server, answer)
			}
		}()
		return client, nil
	}}
}

// TestAnswersOfTransport guards against an answer that is not HTTP and that a transport returns,
// and checks that sound answers of all forms come through.
func TestAnswersOfTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	certificates := newCertificates(t)
	secured := serverConfigHTTP1(certificates)
	for name, c := range map[string]struct {
		answer string
		valid  bool
	}{
		"length":                           {sound, true},
		"unframed":                         {"HTTP/1.1 200 OK\r\n\r\nbody", true},
		"chunks":                           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"trailer":                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		"provisional":                      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sound, true},
		"HTTP/1.0":                         {"HTTP/1.0 200 OK\r\n\r\nbody", true},
		"unusual status":                   {"HTTP/1.1 299 \r\nContent-Length: 4\r\n\r\nbody", true},
		"status 000":                       {"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 000 without a body":        {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
		"status 000 before a sound one":    {"HTTP/1.1 000 OK\r\n\r\n" + sound, false},
		"status 099":                       {"HTTP/1.1 099 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"status -00":                       {"HTTP/1.1 -00 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"switch of protocols":              {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + sound, false},
		"name with a blank":                {"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\nbody", false},
		"name of the length with a blank":  {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody", false},
		"name of the chunks with a blank":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"provisional with a blank":         {"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + sound, false},
		"trailer with a blank":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: z\r\n\r\n", false},
		"version 2":                        {"HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"version 0.9":                      {"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"version 1.2":                      {"HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"reason with a control byte":       {"HTTP/1.1 200 O\x00K\r\nContent-Length: 4\r\n\r\nbody", false},
		"reason beyond ASCII":              {"HTTP/1.1 200 \u00e9\r\nContent-Length: 4\r\n\r\nbody", true},
		"no reason":                        {"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody", true},
		"chunks in HTTP/1.0":               {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"chunks in HTTP/1.0 with a length": {"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 9\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"length in HTTP/1.0":               {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"status 600":                       {"HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nbody", false},
	} {
		t.Run(name, func(t *testing.T) {
			for scheme, config := range map[string]*tls.Config{"http": nil, "https": secured} {
				transport := dialAnswering(c.answer, config).Transport(connector.Limits{
					DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnectionsPerHost: 1, TLS: certificates,
				})
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, scheme+"://127.0.0.1/", strings.NewReader("request"))
				if err != nil {
					t.Fatal(err)
				}
				var body []byte
				response, err := transport.RoundTrip(request)
				if err == nil {
					body, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				if c.valid && (err != nil || string(body) != "body") || !c.valid && !errorx.IsOfType(err, connector.InvalidAnswer) {
					t.Errorf("%s: %q, %v", scheme, body, err)
				}
				transport.CloseIdleConnections()
			}
		})
	}
}
