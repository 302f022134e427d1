package prober

import (
	"net"
	"net/http"
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestRefused checks that a refused connection is told from one that failed
// otherwise, through all layers of the transport.
func TestRefused(t *testing.T) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := identifier.Address(listening.Addr().String())
	_ = listening.Close()
	p := New(Options{Peers: &http.Transport{}})
	if end := p.exchange(t.Context(), p.options.Peers, address, message{}); !end.refused || end.answer != nil {
		t.Errorf("no listener: %+v", end)
	}
	if end := p.exchange(t.Context(), p.options.Peers, "256.0.0.1:1", message{}); end.refused {
		t.Errorf("no address: %+v", end)
	}
}
