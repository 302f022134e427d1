package server_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// servicePools returns a pools table with one service, desk, at an address.
func servicePools(address string) *tabulator.Pools {
	return &tabulator.Pools{Pools: []tabulator.Pool{{
		Name: "desk", Kind: tabulator.Services,
		Members: []tabulator.Member{{Name: "desk-1", Address: identifier.Address(address), Role: "service", DataCentre: "south"}},
	}}}
}

// TestOperatorEdits checks that an operator's edits reach the platform through a
// node, and that each outcome is returned as its own error type.
func TestOperatorEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		listener, err := network.Host("10.9.9.9").Listen(t.Context(), "10.9.9.9:6443")
		if err != nil {
			t.Fatal(err)
		}
		platform := &http.Server{Handler: emulator.NewPlatform(), ReadHeaderTimeout: time.Minute}
		served := make(chan error, 1)
		go func() { served <- platform.Serve(listener) }()
		stopNode := startNodeAt(t, network, "10.0.0.1", nil)
		time.Sleep(time.Second)
		transport := network.Host("10.8.8.8").Transport(connector.Limits{
			DialTimeout: time.Second, HeaderTimeout: time.Minute, IdleTimeout: time.Second, MaxConnectionsPerHost: 1,
		})
		client := administrator.NewClient(administrator.ClientOptions{
			URL: "http://10.0.0.1:9090", Transport: transport, Timeout: time.Minute,
		})

		if _, err := client.Tables(t.Context()); !errorx.IsOfType(err, administrator.Unavailable) {
			t.Errorf("before any tables: %v", err)
		}
		routes := &tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: "/book", Pool: "desk"}}}
		accepted, err := client.Apply(t.Context(), administrator.Edit{Routes: routes, Pools: servicePools("10.1.1.1:80")})
		if err != nil || accepted.Configuration != 1 {
			t.Fatalf("both tables: %+v, %v", accepted, err)
		}
		withoutPool := &tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: "/book", Pool: "nowhere"}}}
		if _, err := client.Apply(t.Context(), administrator.Edit{Routes: withoutPool}); !errorx.IsOfType(err, administrator.Refused) {
			t.Errorf("a route that names no pool: %v", err)
		}
		edited := administrator.Edit{Pools: servicePools("10.1.1.2:80"), Base: 1}
		if accepted, err = client.Apply(t.Context(), edited); err != nil || accepted.Configuration != 2 {
			t.Errorf("an edit of configuration 1: %+v, %v", accepted, err)
		}
		if _, err := client.Apply(t.Context(), edited); !errorx.IsOfType(err, administrator.Raced) {
			t.Errorf("a second edit of configuration 1: %v", err)
		}
		spread, err := client.Rollout(t.Context())
		if err != nil || spread.Configuration != 2 || !strings.Contains(spread.Refusal, "nowhere") {
			t.Errorf("spread: %+v, %v", spread, err)
		}
		_ = platform.Close()
		<-served
		if _, err := client.Apply(t.Context(), administrator.Edit{Routes: routes}); !errorx.IsOfType(err, administrator.Unavailable) {
			t.Errorf("without the platform: %v", err)
		}
		stopNode()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
