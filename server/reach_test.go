package server_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// An edit that is accepted during a partition must name the unreached data centre.
func TestApplyNamesUnreachedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork(time.Millisecond)
		_, stopPlatform := startPlatform(t, network)
		stopSouth := startNodeIn(t, network, "south", "10.0.0.1", nil)
		stopNorth := startNodeIn(t, network, "north", "10.0.0.2", nil)
		time.Sleep(10 * time.Second)
		transport := network.Host("10.8.8.8").Transport(connector.Limits{DialTimeout: time.Second, IdleTimeout: time.Second, MaxConnectionsPerHost: 1})
		client := administrator.NewClient(administrator.ClientOptions{URL: "http://10.0.0.1:9090", Transport: transport, Timeout: time.Minute})
		apply := func(path string) administrator.ApplyResult {
			routes := &tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: path, Pool: "desk"}}}
			accepted, err := client.Apply(t.Context(), administrator.Edit{Routes: routes, Pools: servicePools("10.1.1.1:80")})
			if err != nil {
				t.Error(err)
			}
			return accepted
		}
		if first := apply("/book"); len(first.Unreached) != 0 {
			t.Errorf("with all data centres reachable: %+v", first)
		}
		network.Cut("10.0.0.1", "10.0.0.2")
		if second := apply("/visit"); second.Configuration != 2 || !slices.Equal(second.Unreached, []identifier.DataCentre{"north"}) {
			t.Errorf("with the north cut off: %+v", second)
		}
		network.Heal()
		stopNorth()
		stopSouth()
		stopPlatform()
		time.Sleep(2 * time.Minute) // Idle connections are closed after 90 s.
	})
}
