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

// UnusableFiles is the error type of TLS files that are missing or broken.
var UnusableFiles = Errors.NewType("unusable-tls-files")

// reloadInterval bounds how often the files are looked at.
const reloadInterval = time.Second

// TLSFiles names PEM files. Certificate and Key are both set or both empty.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority signs the other side's certificates. On a server, clients must
	// then show one; on a client, it replaces the system's authorities.
	Authority string
}

// TLS holds the certificates of one side and reads them again when a file has
// changed. Files that cannot be used leave the earlier certificates in force.
type TLS struct {
	files TLSFiles
	log   *logger.Logger

	mutex sync.Mutex
	// checked is when the files were last read.
	checked time.Time
	// current was made from content; both are replaced together.
	current certificates
	content [3][]byte
	// refused is the content that could not be used, so that it is told once.
	refused [3][]byte
}

// certificates is an immutable set of what the files held.
type certificates struct {
	// own is nil on a client without a certificate of its own.
	own *tls.Certificate
	// authority is nil where no file was named.
	authority *x509.CertPool
}

// NewTLS reads the files, and fails if they cannot be used.
func NewTLS(files TLSFiles, log *logger.Logger) (*TLS, error) {
	t := &TLS{files: files, log: log, checked: time.Now()}
	content, err := t.read()
	if err != nil {
		return nil, err
	}
	t.content = content
	t.current, err = t.parse(content)
	return t, err
}

// ServerConfig returns the configuration of a listener; each handshake uses the
// certificates that the files hold then.
func (t *TLS) ServerConfig() *tls.Config {
	protocols := []string{"h2", "http/1.1"}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.latest().own, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.latest().serverConfig(protocols), nil
		},
	}
}

func (c certificates) serverConfig(protocols []string) *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*c.own},
	}
	if c.authority != nil {
		config.ClientCAs = c.authority
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

func (t *TLS) clientConfig(http2 bool) *tls.Config {
	latest := t.latest()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: latest.authority}
	config.NextProtos = []string{"http/1.1"}
	if http2 {
		config.NextProtos = []string{"h2"}
	}
	if latest.own != nil {
		config.Certificates = []tls.Certificate{*latest.own}
	}
	return config
}

// latest returns the certificates in force, after a look at the files.
func (t *TLS) latest() certificates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if time.Since(t.checked) < reloadInterval {
		return t.current
	}
	t.checked = time.Now()
	content, err := t.read()
	if err != nil {
		t.log.Log(EventTLSRefused, logger.Fields{"error": err.Error()})
		return t.current
	}
	if equal(content, t.content) || equal(content, t.refused) {
		return t.current
	}
	parsed, err := t.parse(content)
	if err != nil {
		t.refused = content
		t.log.Log(EventTLSRefused, logger.Fields{"error": err.Error()})
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
		own, err := tls.X509KeyPair(content[0], content[1])
		if err != nil {
			return parsed, UnusableFiles.Wrap(err, "certificate %s with key %s", t.files.Certificate, t.files.Key)
		}
		parsed.own = &own
	}
	if t.files.Authority != "" {
		parsed.authority = x509.NewCertPool()
		if !parsed.authority.AppendCertsFromPEM(content[2]) {
			return parsed, UnusableFiles.New("%s holds no certificate", t.files.Authority)
		}
	}
	return parsed, nil
}

func equal(a, b [3][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
