package starter_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// slowReaderSeed selects the addresses of the processes.
	slowReaderSeed = 700_182
	// slowReaderPause is how long the caller reads nothing.
	slowReaderPause = 4 * time.Second
	// slowReaderEvents and slowReaderEventBytes are the number and the size of the events of its
	// stream, which have its id.
	slowReaderEvents     = 80
	slowReaderEventBytes = 400
)

// TestSlowReaderThroughProcess guards against a caller that reads nothing of its stream for some
// seconds and loses it before its deadline. Only processes have connections whose kernel takes a
// closed window for a sign that the caller is gone.
func TestSlowReaderThroughProcess(t *testing.T) {
	s := newSoakRun(t, buildProgram(t, false), slowReaderSeed)
	s.withRace = false
	defer s.close()
	s.startNodes()
	c := quote()
	c.path, c.deadline = "/long/1", soakLongTimeout
	c.header.Set("X-Token-Counts", fmt.Sprintf("1000,%d", slowReaderEvents*soakEventTokens))
	httpRequest, attempt := s.fleet.newRequest(t.Context(), 0, c)
	attempt += strings.Repeat("x", slowReaderEventBytes)
	httpRequest.Header.Set("X-Attempt-Id", attempt)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		opened, err := dialFlood(ctx, floodForm{isSlowReader: true}, identifier.Address(address))
		return &pausingConn{Conn: opened}, err
	}}
	s.fleet.client = &http.Client{Transport: transport}
	got := s.fleet.do(httpRequest)
	got.attempt = attempt
	s.fleet.checkResponse(t, got, true)
	if got.status != http.StatusOK || got.truncated || countEvents(got.body) != slowReaderEvents {
		t.Errorf("status %d, %d bytes, truncated: %t", got.status, len(got.body), got.truncated)
	}
}

// pausingConn is read after a pause.
type pausingConn struct {
	net.Conn
	once sync.Once
}

func (c *pausingConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() { <-time.After(slowReaderPause) })
	return c.Conn.Read(buffer)
}
