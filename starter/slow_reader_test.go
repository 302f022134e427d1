package starter_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
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
	connection, err := dialFlood(t.Context(), floodForm{isSlowReader: true}, s.fleet.nodes[0].settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	if err := httpRequest.Write(connection); err != nil {
		t.Fatal(err)
	}
	time.Sleep(slowReaderPause)
	response, err := http.ReadResponse(bufio.NewReader(connection), httpRequest)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := clientResponse{attempt: attempt, status: response.StatusCode, signature: response.Header.Get("X-Server-Seal"), body: string(body), truncated: err != nil}
	s.fleet.checkResponse(t, got, true)
	if got.status != http.StatusOK || err != nil || countEvents(got.body) != slowReaderEvents {
		t.Errorf("status %d, %d bytes: %v", got.status, len(body), err)
	}
}
