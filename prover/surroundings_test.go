package prover

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	v1 "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// serve runs an HTTP server of the test itself at an unused address, over TLS unless config is nil.
func (f *processFleet) serve(name string, handler http.Handler, config *tls.Config) *processNode {
	f.t.Helper()
	address := f.freeAddress()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}, TLS: config}
	if config != nil {
		server.StartTLS()
	} else {
		server.Start()
	}
	f.t.Cleanup(server.Close)
	return &processNode{name: name, callers: address}
}

// authority is a certificate authority that signs the certificates of a fleet.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(t *testing.T, serial int64) *authority {
	t.Helper()
	a := &authority{certificate: &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: fmt.Sprintf("authority %d", serial)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	var content []byte
	content, a.key = sign(t, a.certificate, a.certificate, nil)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content})
	return a
}

// sign creates a key and a certificate for it, self-signed if signer is nil.
func sign(t *testing.T, template, parent *x509.Certificate, signer *ecdsa.PrivateKey) ([]byte, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	content, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		t.Fatal(err)
	}
	return content, key
}

// issue writes a certificate for a host, with this serial number, and its key.
func (a *authority) issue(t *testing.T, files connector.TLSFiles, host string, serial int64) {
	t.Helper()
	content, key := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(host)}, KeyUsage: x509.KeyUsageDigitalSignature,
	}, a.certificate, a.key)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	replace(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: content}))
	replace(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
}

// replace replaces a file atomically by renaming, as operators should.
func replace(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// tlsFilesIn returns the paths of the TLS files of one party in a directory.
func tlsFilesIn(directory, name string) connector.TLSFiles {
	path := filepath.Join(directory, name)
	return connector.TLSFiles{Certificate: path + ".pem", Key: path + ".key", Authority: filepath.Join(directory, "authority.pem")}
}

// guardedPlatform answers 401 to requests without the token.
type guardedPlatform struct {
	*emulator.Platform
	token atomic.Pointer[string]
}

func (g *guardedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+*g.token.Load() {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	g.Platform.ServeHTTP(w, r)
}

// traceRecorder forwards requests and records their Traceparent headers.
type traceRecorder struct {
	http.Handler
	mutex   sync.Mutex
	parents map[string]bool
}

func newTraceRecorder(handler http.Handler) *traceRecorder {
	return &traceRecorder{Handler: handler, parents: map[string]bool{}}
}

func (w *traceRecorder) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if parent := r.Header.Get("Traceparent"); parent != "" {
		w.mutex.Lock()
		w.parents[parent] = true
		w.mutex.Unlock()
	}
	w.Handler.ServeHTTP(writer, r)
}

// sawSpanOf reports whether a request carried the context of one of the spans.
func (w *traceRecorder) sawSpanOf(trace string, spans map[string]span) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id := range spans {
		if w.parents["00-"+trace+"-"+id+"-01"] {
			return true
		}
	}
	return false
}

// span is a span that the collector received.
type span struct {
	name, node, parent string
}

// collector receives traces as OTLP over HTTP.
type collector struct {
	mutex sync.Mutex
	// traces maps trace ids to spans by span id.
	traces map[string]map[string]span
}

func (c *collector) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var export v1.ExportTraceServiceRequest
	if r.URL.Path != "/v1/traces" || proto.Unmarshal(body, &export) != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, resource := range export.GetResourceSpans() {
		node := ""
		for _, attribute := range resource.GetResource().GetAttributes() {
			if attribute.GetKey() == "service.instance.id" {
				node = attribute.GetValue().GetStringValue()
			}
		}
		for _, scope := range resource.GetScopeSpans() {
			for _, got := range scope.GetSpans() {
				trace := fmt.Sprintf("%x", got.GetTraceId())
				if c.traces[trace] == nil {
					c.traces[trace] = map[string]span{}
				}
				c.traces[trace][fmt.Sprintf("%x", got.GetSpanId())] = span{got.GetName(), node, fmt.Sprintf("%x", got.GetParentSpanId())}
			}
		}
	}
}

// trace returns a copy of the spans of a trace by span id.
func (c *collector) trace(id string) map[string]span {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	spans := map[string]span{}
	for own, got := range c.traces[id] {
		spans[own] = got
	}
	return spans
}

// localEngine starts an emulated engine in the test's own process.
func (f *processFleet) localEngine(role identifier.Role) (*processNode, *traceRecorder) {
	name := string(role) + "-1"
	switching := newTraceRecorder(nil)
	n := f.serve(name, switching, nil)
	switching.Handler = emulator.NewEngine(emulator.EngineOptions{
		Name: identifier.Member(name), Address: identifier.Address(n.callers), Pieces: 400, PieceTokens: 16, PrefillRate: 8000,
		TokenTime: time.Millisecond, Evict: 5 * time.Second, Retain: 5 * time.Second, Transport: http.DefaultTransport,
	})
	return n, switching
}
