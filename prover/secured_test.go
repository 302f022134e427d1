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

// The tokens of the platform, which no log may hold.
const (
	firstToken  = "token-of-spring"
	secondToken = "token-of-autumn"
)

// securedFleet is a fleet of real processes with TLS on every listener, a
// platform that wants a token, and a collector of traces.
type securedFleet struct {
	*processFleet
	guard     *guardedPlatform
	collector *collector
	// prefill, decode and desk keep the trace contexts that reach back ends.
	prefill, decode, desk *watched
	// node, own and store are the TLS files of the nodes, of this test as caller
	// and operator, and of the platform; tokenFile is the nodes'.
	node, own, store connector.TLSFiles
	tokenFile        string
	// traceparent goes with each request of this test.
	traceparent string
}

func newSecuredFleet(t *testing.T) *securedFleet {
	f := &securedFleet{processFleet: newEmptyFleet(t), collector: &collector{traces: map[string]map[string]span{}}}
	f.node, f.own, f.store = filesIn(f.directory, "node"), filesIn(f.directory, "own"), filesIn(f.directory, "store")
	f.tokenFile = filepath.Join(f.directory, "token")
	f.setToken(firstToken)
	f.certify(newAuthority(t, 1), 1)
	f.guard = &guardedPlatform{Platform: emulator.NewPlatform()}
	f.accept(firstToken)
	f.platform = f.serve("platform", f.guard, f.tls(connector.TLSFiles{Certificate: f.store.Certificate, Key: f.store.Key}).ServerConfig())
	prefill, prefillSeen := f.localEngine(identifier.Prefill)
	decode, decodeSeen := f.localEngine(identifier.Decode)
	f.prefills, f.decodes = []*processNode{prefill}, []*processNode{decode}
	f.prefill, f.decode, f.desk = prefillSeen, decodeSeen, watch(emulator.NewService(0))
	f.service = f.serve("desk-1", f.desk, nil)
	traces := f.serve("collector", f.collector, nil)
	own := fmt.Sprintf("certificate-file = %q\nkey-file = %q\n", f.node.Certificate, f.node.Key)
	authorities := fmt.Sprintf("authority-file = %q\n", f.node.Authority)
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

// RoundTrip reaches the nodes by TLS, on a new connection for each call, and
// others without.
func (f *securedFleet) RoundTrip(request *http.Request) (*http.Response, error) {
	for _, n := range f.nodes {
		if host := request.URL.Host; host == n.callers || host == n.peers || host == n.operators {
			request = request.Clone(request.Context())
			if f.traceparent != "" {
				request.Header.Set("Traceparent", f.traceparent)
			}
			return connector.WithHTTPS(f.transport(f.own)).RoundTrip(request)
		}
	}
	return http.DefaultTransport.RoundTrip(request)
}

func (f *securedFleet) transport(files connector.TLSFiles) *http.Transport {
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

// certify gives everyone new certificates of an authority, and writes which
// authorities they trust.
func (f *securedFleet) certify(signer *authority, serial int64) {
	if _, err := os.Stat(f.node.Authority); err != nil {
		f.trust(signer)
	}
	for _, files := range []connector.TLSFiles{f.node, f.own, f.store} {
		signer.issue(f.t, files, f.addresses.Host(), serial)
	}
}

func (f *securedFleet) trust(trusted ...*authority) {
	var content []byte
	for _, a := range trusted {
		content = append(content, a.pem...)
	}
	replace(f.t, f.node.Authority, content)
}

func (f *securedFleet) setToken(token string) {
	replace(f.t, f.tokenFile, []byte(token+"\n"))
}

// accept makes the platform take a token, and no other.
func (f *securedFleet) accept(token string) { f.guard.token.Store(&token) }

// log returns what a node has logged.
func (f *securedFleet) log(n *processNode) string {
	content, err := os.ReadFile(filepath.Join(f.directory, n.name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(content)
}

// presents tells whether new connections to an address get a certificate of a
// serial number.
func (f *securedFleet) presents(address string, serial int64) bool {
	config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}} // Only the number is looked at.
	connection, err := tls.Dial("tcp", address, config)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	state := connection.ConnectionState()
	return state.NegotiatedProtocol == "h2" && state.PeerCertificates[0].SerialNumber.Int64() == serial
}

// together tells whether every node sees all others as alive.
func (f *securedFleet) together() bool {
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

// answersWhole checks that a model request is answered through each node.
func (f *securedFleet) answersWhole(t *testing.T) {
	t.Helper()
	for _, n := range f.nodes {
		request := completion{prompt: "humidity log", tokens: 8}
		if got := complete(t.Context(), f.client, n.callers, request, nil); got.text() != expected(request) || !got.whole {
			t.Errorf("%s: %+v", n.name, got)
		}
	}
}

// TestSecuredProcesses runs what real deployments add: TLS on every listener
// with files that are replaced, the platform's token, and traces.
func TestSecuredProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newSecuredFleet(t)
	f.waitFor("all nodes together", f.together)
	f.answersWhole(t)
	f.traced(t)
	f.tokenReplaced(t)
	f.certificatesReplaced(t)
	for _, n := range f.nodes {
		if log := f.log(n); strings.Contains(log, firstToken) || strings.Contains(log, secondToken) {
			t.Errorf("%s logged a token", n.name)
		}
	}
}

// traced sends requests that their caller traces, and follows their spans.
func (f *securedFleet) traced(t *testing.T) {
	const caller = "00f067aa0ba902b7"
	id := strings.ReplaceAll(uuid.NewString(), "-", "")
	f.traceparent = "00-" + id + "-" + caller + "-01"
	defer func() { f.traceparent = "" }()
	f.answersWhole(t)
	want := []string{"entry", "acquire", "prefill", "decode", "ledger", "peer-call", "peer", "service", "backend-server"}
	f.waitFor("a span of each hop", func() bool {
		book(t.Context(), f.client, f.nodes[0].callers, uuid.Must(uuid.NewV7()).String(), "visit", true)
		return len(missingSpans(f.collector.trace(id), want)) == 0
	})
	f.waitFor("the parent of each span", func() bool { return len(orphans(f.collector.trace(id), caller)) == 0 })
	spans := f.collector.trace(id)
	for name, backend := range map[string]*watched{"prefill engine": f.prefill, "decode engine": f.decode, "service": f.desk} {
		if !backend.within(id, spans) {
			t.Errorf("the %s got no trace context of the request", name)
		}
	}
}

// missingSpans lists the hops without a span.
func missingSpans(spans map[string]span, want []string) []string {
	names := map[string]bool{}
	for _, got := range spans {
		names[got.name] = true
	}
	return slices.DeleteFunc(slices.Clone(want), func(name string) bool { return names[name] })
}

// orphans lists the spans below neither the caller's nor another one.
func orphans(spans map[string]span, caller string) []string {
	var lost []string
	for _, got := range spans {
		if _, known := spans[got.parent]; !known && got.parent != caller {
			lost = append(lost, got.name)
		}
	}
	return lost
}

// tokenReplaced replaces the token on both sides, and takes the file away.
func (f *securedFleet) tokenReplaced(t *testing.T) {
	f.accept(secondToken)
	f.setToken(secondToken)
	before := f.editTarget(31)
	if err := os.Remove(f.tokenFile); err != nil {
		t.Fatal(err)
	}
	client := administrator.NewClient(administrator.ClientOptions{URL: "http://" + f.nodes[0].operators, Transport: f, Timeout: processWait})
	if _, err := client.Apply(t.Context(), administrator.Edit{Routes: &f.routes}); !errorx.IsOfType(err, administrator.Unavailable) {
		t.Errorf("an edit without the token file: %v", err)
	}
	f.answersWhole(t)
	f.setToken(secondToken)
	after := f.editTarget(32)
	f.waitFor("the edits in force", func() bool { return f.allHold(after) })
	if after <= before {
		t.Errorf("the edits got the numbers %d and %d", before, after)
	}
	if _, found := f.guard.Object("tables", "routes"); !found {
		t.Error("the platform has no routes table")
	}
}

// certificatesReplaced replaces the authority and every certificate while the
// fleet runs, and then breaks a file.
func (f *securedFleet) certificatesReplaced(t *testing.T) {
	earlier := f.own
	earlier.Certificate, earlier.Key = filepath.Join(f.directory, "earlier.pem"), filepath.Join(f.directory, "earlier.key")
	first, second := newAuthority(t, 1), newAuthority(t, 2)
	f.trust(first, second)
	f.certify(first, 7)
	first.issue(t, earlier, f.addresses.Host(), 8)
	f.everyListener("the first authority's", 7)
	f.certify(second, 9)
	f.everyListener("the second authority's", 9)
	f.trust(second)
	f.waitFor("the first authority refused", func() bool {
		client := administrator.NewClient(administrator.ClientOptions{
			URL: "https://" + f.nodes[0].operators, Transport: f.transport(earlier), Timeout: processWait,
		})
		_, err := client.Status(t.Context())
		return err != nil
	})
	f.restart(f.nodes[2])
	f.waitFor("all nodes together again", f.together)
	f.answersWhole(t)
	f.editTarget(33)
	replace(t, f.node.Certificate, []byte("no certificate"))
	f.waitFor("the broken file told", func() bool {
		return f.presents(f.nodes[0].callers, 9) && strings.Contains(f.log(f.nodes[0]), `"event":1015`)
	})
	f.answersWhole(t)
	second.issue(t, f.node, f.addresses.Host(), 10)
	f.everyListener("a repaired file's", 10)
}

// everyListener waits until all listeners of the nodes show a certificate.
func (f *securedFleet) everyListener(whose string, serial int64) {
	f.t.Helper()
	for _, n := range f.nodes {
		for _, address := range []string{n.callers, n.peers, n.operators} {
			f.waitFor(whose+" certificate at "+n.name, func() bool { return f.presents(address, serial) })
		}
	}
}
