package prober

import (
	"net"
	"net/http"
	"testing"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestRefusedConnectionReported checks that the error of a refused connection can still
// be distinguished from other errors after all layers of the transport have wrapped it.
func TestRefusedConnectionReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := identifier.Address(listener.Addr().String())
	_ = listener.Close()
	p := New(Options{Transport: &http.Transport{}})
	if end := p.exchange(t.Context(), p.options.Transport, address, message{}); !end.refused || end.answer != nil {
		t.Errorf("no listener: %+v", end)
	}
	if end := p.exchange(t.Context(), p.options.Transport, "256.0.0.1:1", message{}); end.refused {
		t.Errorf("no address: %+v", end)
	}
}
