package prover

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// The platform's tokens, which must not appear in a log.
const (
	firstToken  = "token-of-spring"
	secondToken = "token-of-autumn"
)

// securedFleet is a fleet of real processes with TLS on every node listener, a
// platform that requires a token, and a trace collector.
type securedFleet struct {
	*processFleet
	guard     *guardedPlatform
	collector *collector
	// prefill, decode and desk record the trace contexts that reach the back ends.
	prefill, decode, desk *traceRecorder
	// nodeTLS, clientTLS and platformTLS are the TLS files of the nodes, of this test as caller
	// and operator, and of the platform.
	nodeTLS, clientTLS, platformTLS connector.TLSFiles
	// tokenFile holds the platform token that the nodes send.
	tokenFile string
	// traceparent, unless empty, is sent with each request of this test.
	traceparent string
}

func newSecuredFleet(t *testing.T) *securedFleet {
	f := &securedFleet{processFleet: newEmptyFleet(t), collector: &collector{traces: map[string]map[string]span{}}}
	f.nodeTLS, f.clientTLS, f.platformTLS = tlsFilesIn(f.directory, "node"), tlsFilesIn(f.directory, "own"), tlsFilesIn(f.directory, "store")
	f.tokenFile = filepath.Join(f.directory, "token")
	f.setToken(firstToken)
	f.issueCertificates(newAuthority(t, 1), 1)
	f.guard = &guardedPlatform{Platform: emulator.NewPlatform()}
	f.acceptToken(firstToken)
	f.platform = f.serve("platform", f.guard, f.tls(connector.TLSFiles{Certificate: f.platformTLS.Certificate, Key: f.platformTLS.Key}).ServerConfig())
	prefill, prefillSeen := f.localEngine(identifier.Prefill)
	decode, decodeSeen := f.localEngine(identifier.Decode)
	f.prefills, f.decodes = []*processNode{prefill}, []*processNode{decode}
	f.prefill, f.decode, f.desk = prefillSeen, decodeSeen, newTraceRecorder(emulator.NewService(0))
	f.service = f.serve("desk-1", f.desk, nil)
	traces := f.serve("collector", f.collector, nil)
	own := fmt.Sprintf("certificate-file = %q\nkey-file = %q\n", f.nodeTLS.Certificate, f.nodeTLS.Key)
	authorities := fmt.Sprintf("authority-file = %q\n", f.nodeTLS.Authority)
	f.settings = map[string]string{
		"callers": own, "peers": own + authorities, "operators": own + authorities,
		"platform": authorities + fmt.Sprintf("token-file = %q\n", f.tokenFile),
		"traces":   fmt.Sprintf("endpoint = \"http://%s\"\nsample-ratio = 0.0\n", traces.callers),
	}
	f.placeNodes()
	f.client.Transport = f
	f.startNodes("https://" + f.platform.callers)
	f.setTables()
	return f
}

// RoundTrip sends requests to nodes over TLS, on a new connection each, and all
// other requests over plain HTTP.
func (f *securedFleet) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, n := range f.nodes {
		if host := request.URL.Host; host == n.callers || host == n.peers || host == n.operators {
			request = request.Clone(request.Context())
			if f.traceparent != "" {
				request.Header.Set("Traceparent", f.traceparent)
			}
			return connector.WithHTTPS(f.transport(f.clientTLS)).RoundTrip(request)
		}
	}
	return http.DefaultTransport.RoundTrip(request)
}

func (f *securedFleet) transport(files connector.TLSFiles) *connector.Transport {
	transport := connector.NewNetwork().Transport(connector.Limits{
		DialTimeout: 5 * time.Second, HeaderTimeout: processWait, IdleTimeout: time.Second, MaxConnectionsPerHost: 8, TLS: f.tls(files),
	})
	transport.DisableKeepAlives = true
	return transport
}

func (f *securedFleet) tls(files connector.TLSFiles) *connector.TLS {
	read, err := connector.NewTLS(files, logger.Discard())
	if err != nil {
		f.t.Fatal(err)
	}
	return read
}

// issueCertificates replaces all certificates by ones that signer issues. It makes
// signer the trusted authority if there is no authority file yet.
func (f *securedFleet) issueCertificates(signer *authority, serial int64) {
	if _, err := os.Stat(f.nodeTLS.Authority); err != nil {
		f.trust(signer)
	}
	for _, files := range []connector.TLSFiles{f.nodeTLS, f.clientTLS, f.platformTLS} {
		signer.issue(f.t, files, f.addresses.Host(), serial)
	}
}

func (f *securedFleet) trust(trusted ...*authority) {
	var content []byte
	for _, a := range trusted {
		content = append(content, a.pem...)
	}
	replace(f.t, f.nodeTLS.Authority, content)
}

func (f *securedFleet) setToken(token string) {
	replace(f.t, f.tokenFile, []byte(token+"\n"))
}

// acceptToken makes the platform accept only this token.
func (f *securedFleet) acceptToken(token string) { f.guard.token.Store(&token) }

// log returns the content of a node's log file.
func (f *securedFleet) log(n *processNode) string {
	content, err := os.ReadFile(filepath.Join(f.directory, n.name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(content)
}

// presentsCertificate reports whether the listener at address presents a certificate
// with this serial number and negotiates HTTP/2.
func (f *securedFleet) presentsCertificate(address string, serial int64) bool {
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}} // Only the serial number is checked.
	connection, err := tls.Dial("tcp", address, config)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	state := connection.ConnectionState()
	return state.NegotiatedProtocol == "h2" && state.PeerCertificates[0].SerialNumber.Int64() == serial
}

// allAlive reports whether every node sees all nodes as alive.
func (f *securedFleet) allAlive() bool {
	for _, n := range f.nodes {
		members := f.status(n).Members
		for _, member := range members {
			if member.State != assigner.Alive {
				return false
			}
		}
		if len(members) != len(f.nodes) {
			return false
		}
	}
	return true
}

// checkAnswers checks that each node answers a model request completely.
func (f *securedFleet) checkAnswers(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		request := completion{prompt: "humidity log", tokens: 8}
		if got := complete(t.Context(), f.client, n.callers, request, nil); got.text() != expectedText(request) || !got.whole {
			t.Errorf("%s: %+v", n.name, got)
		}
	}
}

// TestSecuredProcesses checks real processes with TLS on every listener, platform
// tokens and traces, while certificate and token files are replaced.
func TestSecuredProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newSecuredFleet(t)
	f.waitFor("all nodes together", f.allAlive)
	f.checkAnswers(t)
	f.checkTraces(t)
	f.checkTokenReplacement(t)
	f.checkCertificateReplacement(t)
	for _, n := range f.nodes {
		if log := f.log(n); strings.Contains(log, firstToken) || strings.Contains(log, secondToken) {
			t.Errorf("%s logged a token", n.name)
		}
	}
}

// checkTraces sends traced requests and checks that the spans of all hops are linked.
func (f *securedFleet) checkTraces(t *testing.T) {
	const caller = "00f067aa0ba902b7"
	id := strings.ReplaceAll(uuid.NewString(), "-", "")
	f.traceparent = "00-" + id + "-" + caller + "-01"
	defer func() { f.traceparent = "" }()
	f.checkAnswers(t)
	want := []string{"entry", "acquire", "prefill", "decode", "ledger", "peer-call", "peer", "service", "backend-server"}
	f.waitFor("a span of each hop", func() bool {
		book(t.Context(), f.client, f.nodes[0].callers, uuid.Must(uuid.NewV7()).String(), "visit", true)
		return len(missingSpans(f.collector.trace(id), want)) == 0
	})
	f.waitFor("the parent of each span", func() bool { return len(orphans(f.collector.trace(id), caller)) == 0 })
	spans := f.collector.trace(id)
	for name, backend := range map[string]*traceRecorder{"prefill engine": f.prefill, "decode engine": f.decode, "service": f.desk} {
		if !backend.sawSpanOf(id, spans) {
			t.Errorf("the %s got no trace context of the request", name)
		}
	}
}

// missingSpans returns the names in want that no span has.
func missingSpans(spans map[string]span, want []string) []string {
	names := map[string]bool{}
	for _, got := range spans {
		names[got.name] = true
	}
	return slices.DeleteFunc(slices.Clone(want), func(name string) bool { return names[name] })
}

// orphans returns the names of spans whose parent is neither the caller's span nor in spans.
func orphans(spans map[string]span, caller string) []string {
	var lost []string
	for _, got := range spans {
		if _, known := spans[got.parent]; !known && got.parent != caller {
			lost = append(lost, got.name)
		}
	}
	return lost
}

// checkTokenReplacement replaces the token on both sides, then removes and restores the token file.
func (f *securedFleet) checkTokenReplacement(t *testing.T) {
	f.acceptToken(secondToken)
	f.setToken(secondToken)
	before := f.editTarget(31)
	if err := os.Remove(f.tokenFile); err != nil {
		t.Fatal(err)
	}
	client := administrator.NewClient(administrator.ClientOptions{URL: "http://" + f.nodes[0].operators, Transport: f, Timeout: processWait})
	if _, err := client.Apply(t.Context(), administrator.Edit{Routes: &f.routes}); !errorx.IsOfType(err, administrator.Unavailable) {
		t.Errorf("an edit without the token file: %v", err)
	}
	f.checkAnswers(t)
	f.setToken(secondToken)
	after := f.editTarget(32)
	f.waitFor("the edits in force", func() bool { return f.allHave(after) })
	if after <= before {
		t.Errorf("the edits got the numbers %d and %d", before, after)
	}
	if _, found := f.guard.Object("tables", "routes"); !found {
		t.Error("the platform has no routes table")
	}
}

// checkCertificateReplacement replaces the authority and every certificate while the
// fleet runs, then writes an invalid certificate file and repairs it.
func (f *securedFleet) checkCertificateReplacement(t *testing.T) {
	earlier := f.clientTLS
	earlier.Certificate, earlier.Key = filepath.Join(f.directory, "earlier.pem"), filepath.Join(f.directory, "earlier.key")
	first, second := newAuthority(t, 1), newAuthority(t, 2)
	f.trust(first, second)
	f.issueCertificates(first, 7)
	first.issue(t, earlier, f.addresses.Host(), 8)
	f.waitForCertificate("the first authority's", 7)
	f.issueCertificates(second, 9)
	f.waitForCertificate("the second authority's", 9)
	f.trust(second)
	f.waitFor("the first authority refused", func() bool {
		client := administrator.NewClient(administrator.ClientOptions{
			URL: "https://" + f.nodes[0].operators, Transport: f.transport(earlier), Timeout: processWait,
		})
		_, err := client.Status(t.Context())
		return err != nil
	})
	f.restart(f.nodes[2])
	f.waitFor("all nodes together again", f.allAlive)
	f.checkAnswers(t)
	f.editTarget(33)
	replace(t, f.nodeTLS.Certificate, []byte("no certificate"))
	f.waitFor("the broken file logged", func() bool {
		return f.presentsCertificate(f.nodes[0].callers, 9) && strings.Contains(f.log(f.nodes[0]), `"event":1015`)
	})
	f.checkAnswers(t)
	second.issue(t, f.nodeTLS, f.addresses.Host(), 10)
	f.waitForCertificate("a repaired file's", 10)
}

// waitForCertificate waits until all node listeners present a certificate with this serial number.
func (f *securedFleet) waitForCertificate(whose string, serial int64) {
	f.t.Helper()
	for _, n := range f.nodes {
		for _, address := range []string{n.callers, n.peers, n.operators} {
			f.waitFor(whose+" certificate at "+n.name, func() bool { return f.presentsCertificate(address, serial) })
		}
	}
}
