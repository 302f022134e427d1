package server_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// A route's timeout is capped at the node's setting requests.max-timeout.
func TestMaxTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		platform, stopPlatform := startPlatform(t, network)
		putTables(t, platform, tabulator.Routes{Routes: []tabulator.Route{{
			Name: "book", Path: "/book", Pool: "desk", Repeatable: true, Timeout: tabulator.Duration(time.Hour),
		}}})
		listener, err := network.Host("10.1.1.1").Listen(t.Context(), "10.1.1.1:80")
		if err != nil {
			t.Fatal(err)
		}
		service := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}), ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- service.Serve(listener) }()
		stopNode := startNodeIn(t, network, "south", "10.0.0.1", nil, "requests.max-timeout = \"4s\"")
		time.Sleep(10 * time.Second)
		ask := newGetter(t, network)
		began := time.Now()
		got := ask("http://10.0.0.1:8080/book")
		if took := time.Since(began); took < 4*time.Second || took > 5*time.Second {
			t.Errorf("a call with max-timeout 4s took %s: %s", took, got)
		}
		stopNode()
		stopPlatform()
		_ = service.Close()
		<-served
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
