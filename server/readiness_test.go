package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// startPlatform serves an emulated platform until stop is called.
func startPlatform(t *testing.T, network *emulator.Network) (platform *emulator.Platform, stop func()) {
	t.Helper()
	listener, err := network.Host("10.9.9.9").Listen(t.Context(), "10.9.9.9:6443")
	if err != nil {
		t.Fatal(err)
	}
	platform = emulator.NewPlatform()
	serving := &http.Server{Handler: platform, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- serving.Serve(listener) }()
	return platform, func() {
		_ = serving.Close()
		<-served
	}
}

// putCallTables stores tables with a route for /book to a service in the platform.
func putCallTables(t *testing.T, platform *emulator.Platform) {
	t.Helper()
	putTables(t, platform, tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: "/book", Pool: "desk", Repeatable: true}}})
}

// putTables stores routes, and pools with one service, in the platform.
func putTables(t *testing.T, platform *emulator.Platform, routes tabulator.Routes) {
	t.Helper()
	for name, table := range map[string]any{"routes": routes, "pools": servicePools("10.1.1.1:80")} {
		text, err := json.Marshal(table)
		if err != nil {
			t.Fatal(err)
		}
		platform.Put("tables", name, text)
	}
}

// newGetter returns a function that sends GET requests to nodes. Its result is the
// status with the refusal's outcome and reason or with the addresses in the answer.
func newGetter(t *testing.T, network *emulator.Network) func(url string) string {
	transport := network.Host("10.8.8.8").Transport(connector.Limits{
		DialTimeout: time.Second, HeaderTimeout: time.Minute, IdleTimeout: time.Second, MaxConnectionsPerHost: 8,
	})
	client := &http.Client{Transport: transport}
	return func(url string) string {
		response, err := client.Get(url)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			t.Error(err)
		}
		var body struct {
			Error   struct{ Outcome, Reason string }
			Entries []struct{ Address string }
		}
		_ = json.Unmarshal(content, &body) // Bodies of another form have no refusal or addresses.
		result := fmt.Sprint(response.StatusCode)
		if body.Error.Reason != "" {
			result += " " + body.Error.Outcome + " " + body.Error.Reason
		}
		for _, entry := range body.Entries {
			result += " " + entry.Address
		}
		return result
	}
}

// A node whose seeds do not answer must not serve before it has found out that it is
// alone, even if it already has the configuration.
func TestNotReadyWhileSeedsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		platform, stopPlatform := startPlatform(t, network)
		putCallTables(t, platform)
		stopFirst := startNodeAt(t, network, "10.0.0.1", nil)
		time.Sleep(10 * time.Second)
		network.Cut("10.0.0.1", "10.0.0.2")
		stopSecond := startNodeAt(t, network, "10.0.0.2", nil)
		time.Sleep(200 * time.Millisecond)
		ask := newGetter(t, network)
		for url, want := range map[string]string{
			"http://10.0.0.2:8080/v1/entries": "503 not-run not-joined",
			"http://10.0.0.2:8080/book":       "503 not-run not-joined",
			"http://10.0.0.2:9090/readyz":     "503",
		} {
			if got := ask(url); got != want {
				t.Errorf("before it finds out that it is alone, %s: %s, want %s", url, got, want)
			}
		}
		time.Sleep(30 * time.Second)
		for url, want := range map[string]string{
			"http://10.0.0.2:8080/v1/entries": "200 10.0.0.2:8080",
			"http://10.0.0.2:8080/book":       "503 not-run backend-server-unavailable",
			"http://10.0.0.2:9090/readyz":     "200",
		} {
			if got := ask(url); got != want {
				t.Errorf("alone, %s: %s, want %s", url, got, want)
			}
		}
		network.Heal()
		time.Sleep(time.Minute)
		if got := ask("http://10.0.0.1:8080/v1/entries"); strings.Count(got, ":8080") != 2 {
			t.Errorf("after the partition has healed: %s", got)
		}
		stopSecond()
		stopFirst()
		stopPlatform()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}

// A node that starts before its seed must wait for the seed for a while. Otherwise,
// when the whole fleet restarts, each node would serve as if it were alone.
func TestNotReadyBeforeSeedStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		platform, stopPlatform := startPlatform(t, network)
		putCallTables(t, platform)
		stopSecond := startNodeAt(t, network, "10.0.0.2", nil)
		time.Sleep(time.Second)
		ask := newGetter(t, network)
		if got := ask("http://10.0.0.2:8080/v1/entries"); got != "503 not-run not-joined" {
			t.Errorf("before the seed started: %s", got)
		}
		stopFirst := startNodeAt(t, network, "10.0.0.1", nil)
		time.Sleep(3 * time.Second)
		for _, host := range []string{"10.0.0.1", "10.0.0.2"} {
			if got := ask("http://" + host + ":8080/v1/entries"); strings.Count(got, ":8080") != 2 {
				t.Errorf("after the seed started, %s: %s", host, got)
			}
		}
		stopSecond()
		stopFirst()
		stopPlatform()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}

// Nodes must not give callers any addresses before the first tables are published,
// and must give the addresses of all nodes afterwards.
func TestNotReadyWithoutTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		_, stopPlatform := startPlatform(t, network)
		stopFirst := startNodeAt(t, network, "10.0.0.1", nil)
		stopSecond := startNodeAt(t, network, "10.0.0.2", nil)
		time.Sleep(10 * time.Second)
		ask := newGetter(t, network)
		for _, url := range []string{"http://10.0.0.1:8080/v1/entries", "http://10.0.0.2:8080/book"} {
			if got := ask(url); got != "503 not-run no-configuration" {
				t.Errorf("without tables, %s: %s", url, got)
			}
		}
		transport := network.Host("10.8.8.8").Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1})
		client := administrator.NewClient(administrator.ClientOptions{URL: "http://10.0.0.1:9090", Transport: transport, Timeout: time.Minute})
		routes := &tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: "/book", Pool: "desk"}}}
		if _, err := client.Apply(t.Context(), administrator.Edit{Routes: routes, Pools: servicePools("10.1.1.1:80")}); err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Second)
		for _, url := range []string{"http://10.0.0.1:8080/v1/entries", "http://10.0.0.2:8080/v1/entries"} {
			if got := ask(url); strings.Count(got, ":8080") != 2 {
				t.Errorf("with tables, %s: %s", url, got)
			}
		}
		stopSecond()
		stopFirst()
		stopPlatform()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
