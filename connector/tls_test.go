package connector_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// writeCertificate writes a self-signed certificate with a serial number, which is
// also its own authority.
func writeCertificate(t *testing.T, files connector.TLSFiles, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}))
}

func write(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

func testFiles(t *testing.T) connector.TLSFiles {
	certificate := filepath.Join(t.TempDir(), "node.pem")
	return connector.TLSFiles{Certificate: certificate, Key: certificate + ".key", Authority: certificate}
}

// newCertificates returns a certificate that is also its own authority.
func newCertificates(t *testing.T) *connector.TLS {
	t.Helper()
	files := testFiles(t)
	writeCertificate(t, files, 1)
	certificates, err := connector.NewTLS(files, logger.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return certificates
}

// serverConfigHTTP1 returns the configuration of a server of HTTP/1.
func serverConfigHTTP1(certificates *connector.TLS) *tls.Config {
	config := certificates.ServerConfig()
	config.GetConfigForClient, config.NextProtos = nil, nil
	return config
}

func serial(t *testing.T, certificates *connector.TLS) int64 {
	t.Helper()
	own, err := certificates.ServerConfig().GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	return own.Leaf.SerialNumber.Int64()
}

// A changed certificate is reloaded; while a file is invalid, the previous one is used.
func TestCertificatesReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		files := testFiles(t)
		writeCertificate(t, files, 1)
		certificates, err := connector.NewTLS(files, logger.Discard())
		if err != nil {
			t.Fatal(err)
		}
		write(t, files.Key, []byte("half a key"))
		time.Sleep(2 * time.Second)
		if got := serial(t, certificates); got != 1 {
			t.Errorf("with a broken key: serial %d", got)
		}
		writeCertificate(t, files, 2)
		time.Sleep(2 * time.Second)
		if got := serial(t, certificates); got != 2 {
			t.Errorf("after the repair: serial %d", got)
		}
	})
}

func TestUnusableFiles(t *testing.T) {
	_, err := connector.NewTLS(testFiles(t), logger.Discard())
	if !errorx.IsOfType(err, connector.UnusableFiles) {
		t.Errorf("missing files: %v", err)
	}
}

// A server with an authority accepts clients with a certificate and rejects others.
func TestMutualTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		files := testFiles(t)
		writeCertificate(t, files, 1)
		certificates, err := connector.NewTLS(files, logger.Discard())
		if err != nil {
			t.Fatal(err)
		}
		pipes, stop := serveTLS(t, certificates, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.Proto)
		})
		for _, ping := range []time.Duration{0, time.Second} {
			own := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 4, PingInterval: ping, TLS: certificates}
			client := &http.Client{Transport: pipes.network().Transport(own)}
			response, err := client.Get("https://127.0.0.1/")
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			if want := map[bool]string{false: "HTTP/1.1", true: "HTTP/2.0"}[ping > 0]; string(body) != want {
				t.Errorf("ping %s: got %s, want %s", ping, body, want)
			}
			_ = response.Body.Close()
			client.CloseIdleConnections()
		}
		anonymous, err := connector.NewTLS(connector.TLSFiles{Authority: files.Authority}, logger.Discard())
		if err != nil {
			t.Fatal(err)
		}
		limits := connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 4, TLS: anonymous}
		client := &http.Client{Transport: pipes.network().Transport(limits)}
		if response, err := client.Get("https://127.0.0.1/"); err == nil {
			_ = response.Body.Close()
			t.Error("a client without a certificate was served")
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}
