package cmd

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// nodeFlags are the flags for the node to call: address, timeout and TLS files.
type nodeFlags struct {
	url      string
	timeout  time.Duration
	tlsFiles connector.TLSFiles
}

func (n *nodeFlags) addTo(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&n.url, "operators", "http://127.0.0.1:9090", "base `address` of a node's operators' listener")
	flags.DurationVar(&n.timeout, "timeout", 30*time.Second, "bound on the call as a whole")
	flags.StringVar(&n.tlsFiles.Authority, "authority-file", "", "PEM `file` of the certificates that sign the node's")
	flags.StringVar(&n.tlsFiles.Certificate, "certificate-file", "", "PEM `file` of the certificate to show the node")
	flags.StringVar(&n.tlsFiles.Key, "key-file", "", "PEM `file` of the certificate's key")
	command.MarkFlagsRequiredTogether("certificate-file", "key-file")
}

// client returns a client of the node. It fails if the TLS files cannot be loaded.
func (n *nodeFlags) client() (*administrator.Client, error) {
	limits := connector.Limits{DialTimeout: n.timeout, HeaderTimeout: n.timeout, IdleTimeout: n.timeout, MaxConnectionsPerHost: 1}
	if n.tlsFiles != (connector.TLSFiles{}) {
		certificates, err := connector.NewTLS(n.tlsFiles, logger.Discard())
		if err != nil {
			return nil, Faulty.Wrap(err, "certificates")
		}
		limits.TLS = certificates
	}
	return administrator.NewClient(administrator.ClientOptions{
		URL:       n.url,
		Transport: connector.NewNetwork().Transport(limits),
		Timeout:   n.timeout,
	}), nil
}
