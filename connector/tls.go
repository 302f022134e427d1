package connector

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/logger"
)

// UnusableFiles is the error type of TLS and token files that are missing or invalid.
var UnusableFiles = Errors.NewType("unusable-tls-files")

// reloadInterval is the shortest time between two checks of the files for changes.
const reloadInterval = time.Second

// TLSFiles holds paths of PEM files. Certificate and Key are both set or both empty.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority verifies the other side's certificates. If it is set, a server
	// requires client certificates, and a client does not use the system's authorities.
	Authority string
}

// TLS holds the certificates of a server or client and reloads them when a file has
// changed. If the new files are unusable, the previous certificates stay in use.
type TLS struct {
	files TLSFiles
	log   *logger.Logger

	mutex sync.Mutex
	// checkedAt is when the files were last read.
	checkedAt time.Time
	// current was parsed from content; both are replaced together.
	current certificates
	content [3][]byte
	// unusable is the last content that failed to parse, so that it is logged once.
	unusable [3][]byte
}

// certificates is the immutable parsed content of the files.
type certificates struct {
	// certificate is nil on a client without a client certificate.
	certificate *tls.Certificate
	// authority is nil if no authority file is configured.
	authority *x509.CertPool
}

// NewTLS reads the files. It fails with UnusableFiles if one is missing or invalid.
func NewTLS(files TLSFiles, log *logger.Logger) (*TLS, error) {
	t := &TLS{files: files, log: log, checkedAt: time.Now()}
	content, err := t.read()
	if err != nil {
		return nil, err
	}
	t.content = content
	t.current, err = t.parse(content)
	return t, err
}

// ServerConfig returns the configuration of a listener. Each handshake uses the
// current content of the files.
func (t *TLS) ServerConfig() *tls.Config {
	protocols := []string{"h2", "http/1.1"}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.reloadChanged().certificate, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.reloadChanged().serverConfig(protocols), nil
		},
	}
}

func (c certificates) serverConfig(protocols []string) *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*c.certificate},
	}
	if c.authority != nil {
		config.ClientCAs = c.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// clientConfig returns the configuration of one connection. A nil TLS has no certificate and uses
// the system's authorities.
func (t *TLS) clientConfig(http2 bool) *tls.Config {
	var latest certificates
	if t != nil {
		latest = t.reloadChanged()
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: latest.authority}
	config.NextProtos = []string{"http/1.1"}
	if http2 {
		config.NextProtos = []string{"h2"}
	}
	if latest.certificate != nil {
		config.Certificates = []tls.Certificate{*latest.certificate}
	}
	return config
}

// reloadChanged returns the current certificates. It first reloads changed files, at
// most once per reloadInterval.
func (t *TLS) reloadChanged() certificates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if time.Since(t.checkedAt) < reloadInterval {
		return t.current
	}
	t.checkedAt = time.Now()
	content, err := t.read()
	if err != nil {
		t.log.Log(EventTLSReloadFailed, logger.Fields{"error": err.Error()})
		return t.current
	}
	if sameContent(content, t.content) || sameContent(content, t.unusable) {
		return t.current
	}
	parsed, err := t.parse(content)
	if err != nil {
		t.unusable = content
		t.log.Log(EventTLSReloadFailed, logger.Fields{"error": err.Error()})
		return t.current
	}
	t.current, t.content = parsed, content
	t.log.Log(EventTLSReloaded, logger.Fields{"certificate-file": t.files.Certificate})
	return t.current
}

func (t *TLS) read() ([3][]byte, error) {
	var content [3][]byte
	for i, path := range []string{t.files.Certificate, t.files.Key, t.files.Authority} {
		if path == "" {
			continue
		}
		read, err := os.ReadFile(path) //nolint:gosec // The settings name the file.
		if err != nil {
			return content, UnusableFiles.Wrap(err, "read")
		}
		content[i] = read
	}
	return content, nil
}

func (t *TLS) parse(content [3][]byte) (certificates, error) {
	var parsed certificates
	if t.files.Certificate != "" {
		certificate, err := tls.X509KeyPair(content[0], content[1])
		if err != nil {
			return parsed, UnusableFiles.Wrap(err, "certificate %s with key %s", t.files.Certificate, t.files.Key)
		}
		parsed.certificate = &certificate
	}
	if t.files.Authority != "" {
		parsed.authority = x509.NewCertPool()
		if !parsed.authority.AppendCertsFromPEM(content[2]) {
			return parsed, UnusableFiles.New("%s holds no certificate", t.files.Authority)
		}
	}
	return parsed, nil
}

func sameContent(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
