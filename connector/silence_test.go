package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/logger"
)

// rarePingLimits sets a ping interval longer than the test, so that only a timed out
// call can detect a dead connection.
func rarePingLimits(certificates *connector.TLS) connector.Limits {
	return connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConnectionsPerHost: 4, PingInterval: time.Minute, TLS: certificates}
}

// recordingNetwork records the connections that are opened through it.
type recordingNetwork struct {
	connector.Network
	mutex  sync.Mutex
	opened []*blackholeConn
}

func recordConnections(pipes *pipeNetwork) *recordingNetwork {
	w := &recordingNetwork{Network: pipes.network()}
	w.Dial = func(context.Context, string, string) (net.Conn, error) {
		connection, err := pipes.dial()
		if err != nil {
			return nil, err
		}
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.opened = append(w.opened, &blackholeConn{Conn: connection})
		return w.opened[len(w.opened)-1], nil
	}
	return w
}

// postWithTimeout makes a call with a timeout of 250 ms.
func postWithTimeout(t *testing.T, client *http.Client, url string) error {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

// A call that times out on a dead connection closes it, with and without TLS, so that
// the next call opens a new one. Otherwise calls fail until the next ping.
func TestTimeoutClosesUnresponsiveConnection(t *testing.T) {
	for _, secured := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var certificates *connector.TLS
			url := "http://127.0.0.1/"
			if secured {
				files := testFiles(t)
				writeCertificate(t, files, 1)
				var err error
				if certificates, err = connector.NewTLS(files, logger.Discard()); err != nil {
					t.Fatal(err)
				}
				url = "https://127.0.0.1/"
			}
			pipes, stop := serveTLS(t, certificates, func(http.ResponseWriter, *http.Request) {})
			network := recordConnections(pipes)
			client := &http.Client{Transport: connector.CloseUnresponsive(network.Transport(rarePingLimits(certificates)))}
			if err := postWithTimeout(t, client, url); err != nil {
				t.Fatal(err)
			}
			network.opened[0].dropWrites.Store(true)
			if err := postWithTimeout(t, client, url); err == nil {
				t.Error("a call was answered on a silent connection")
			}
			synctest.Wait()
			if !network.opened[0].closed.Load() {
				t.Errorf("TLS %t: the silent connection is still open", secured)
			}
			if err := postWithTimeout(t, client, url); err != nil {
				t.Errorf("TLS %t: after the silence: %v", secured, err)
			}
			client.CloseIdleConnections()
			if err := stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// A call that times out or is cancelled must not close a connection on which other
// calls receive answers.
func TestTimeoutKeepsLiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		pipes, stop := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-release
			}
		})
		network := recordConnections(pipes)
		client := &http.Client{Transport: connector.CloseUnresponsive(network.Transport(rarePingLimits(nil)))}
		slow := make(chan error, 1)
		go func() { slow <- postWithTimeout(t, client, "http://127.0.0.1/slow") }()
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		if err := postWithTimeout(t, client, "http://127.0.0.1/"); err != nil {
			t.Error(err)
		}
		if err := <-slow; err == nil {
			t.Error("the slow call did not time out")
		}
		callContext, cancelCall := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(callContext, http.MethodPost, "http://127.0.0.1/slow", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, cancelCall)
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
			t.Error("the cancelled call was answered")
		}
		if len(network.opened) != 1 || network.opened[0].closed.Load() {
			t.Errorf("%d connections were opened, the first closed: %t", len(network.opened), network.opened[0].closed.Load())
		}
		close(release)
		client.CloseIdleConnections()
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}
