package server_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/server"
)

// writeFleetCertificate writes the files of a self-signed certificate for all hosts.
func writeFleetCertificate(t *testing.T, hosts ...string) connector.TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	for _, host := range hosts {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(host))
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "fleet.pem")
	for name, block := range map[string]*pem.Block{path: {Type: "CERTIFICATE", Bytes: certificate}, path + ".key": {Type: "PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return connector.TLSFiles{Certificate: path, Key: path + ".key", Authority: path}
}

// startNodeAt runs a node in data centre south, with TLS unless certificates is nil.
func startNodeAt(t *testing.T, network *emulator.Network, host string, certificates *connector.TLS) (stop func()) {
	t.Helper()
	return startNodeIn(t, network, "south", host, certificates)
}

// startNodeIn runs a node in a data centre, with additional lines of settings.
func startNodeIn(t *testing.T, network *emulator.Network, dataCentre, host string, certificates *connector.TLS, more ...string) (stop func()) {
	t.Helper()
	settings, faults := configurator.Parse(fmt.Appendf(nil, `
node = {name = "node-%[1]s", data-centre = "%[2]s"}
callers.listen = "%[1]s:8080"
peers.listen = "%[1]s:8081"
operators.listen = "%[1]s:9090"
platform.url = "http://10.9.9.9:6443"
membership.seeds = ["10.0.0.1:8081"]
%[3]s
`, host, dataCentre, strings.Join(more, "\n")))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	node := server.New(server.Options{
		Settings: settings, Incarnation: 1, Network: network.Host(host),
		Certificates: server.Certificates{Peers: certificates, Operators: certificates},
		Log:          logger.Discard(), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	return func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Nodes must join over mutual TLS, and must not answer an operator who has no
// certificate of the fleet.
func TestMutualTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		certificates, err := connector.NewTLS(writeFleetCertificate(t, "10.0.0.1", "10.0.0.2"), logger.Discard())
		if err != nil {
			t.Fatal(err)
		}
		stopFirst := startNodeAt(t, network, "10.0.0.1", certificates)
		time.Sleep(time.Second)
		stopSecond := startNodeAt(t, network, "10.0.0.2", certificates)
		time.Sleep(10 * time.Second)

		ask := func(url string, clientCertificates *connector.TLS) (administrator.Status, error) {
			transport := network.Host("10.8.8.8").Transport(connector.Limits{
				DialTimeout: time.Second, HeaderTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1, TLS: clientCertificates,
			})
			defer transport.CloseIdleConnections()
			client := administrator.NewClient(administrator.ClientOptions{URL: url, Transport: transport, Timeout: time.Minute})
			return client.Status(t.Context())
		}
		status, err := ask("https://10.0.0.2:9090", certificates)
		if err != nil || len(status.Members) != 2 || status.Members[0].State != assigner.Alive {
			t.Errorf("with the fleet's certificate: %+v, %v", status.Members, err)
		}
		withoutCertificate, err := connector.NewTLS(connector.TLSFiles{Authority: writeFleetCertificate(t, "10.0.0.2").Certificate}, logger.Discard())
		if err != nil {
			t.Fatal(err)
		}
		for _, url := range []string{"https://10.0.0.2:9090", "http://10.0.0.2:9090"} {
			if _, err := ask(url, withoutCertificate); err == nil {
				t.Errorf("an operator without a certificate was answered at %s", url)
			}
		}
		stopSecond()
		stopFirst()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
