package cmd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/administrator"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/cmd"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// fakeNode serves two small tables and accepts an edit if the tables stay valid. An
// edit without a base is accepted with two data centres reported as unreached.
type fakeNode struct {
	tables administrator.Tables
}

func newFakeNode() *fakeNode {
	return &fakeNode{administrator.Tables{
		Configuration: 7,
		Routes:        tabulator.Routes{Routes: []tabulator.Route{{Name: "book", Path: "/book", Pool: "desk"}}},
		Pools: tabulator.Pools{Pools: []tabulator.Pool{{
			Name: "desk", Kind: tabulator.Services,
			Members: []tabulator.Member{{Name: "d1", Address: "192.0.2.7:80", Role: identifier.Service}},
		}}},
	}}
}

func (n *fakeNode) Status(context.Context) administrator.Status {
	return administrator.Status{
		Node: "entry-1", DataCentre: "plovdiv", State: assigner.Alive, Configuration: n.tables.Configuration, InFlight: 3,
		Members: []administrator.Member{{Node: "entry-1", DataCentre: "plovdiv", State: assigner.Alive, Incarnation: 5, Callers: "192.0.2.1:8080", Peers: "192.0.2.1:8081"}},
		Pools: []administrator.Pool{
			{Name: "desk", Kind: tabulator.Services},
			{Name: "reader", Kind: tabulator.Models, Grants: 1, Pieces: 9, Shards: []administrator.Shard{
				{Index: 0, Owner: "entry-1", Placing: &administrator.ShardPlacement{Grants: 2, Pieces: 30, WaitingLesser: 4}},
				{Index: 1, Owner: "entry-2"},
			}},
		},
	}
}

func (n *fakeNode) Tables(context.Context) (administrator.Tables, error) { return n.tables, nil }

func (n *fakeNode) Apply(_ context.Context, edit administrator.Edit) (administrator.ApplyResult, error) {
	if edit.Base != 0 && edit.Base != n.tables.Configuration {
		return administrator.ApplyResult{}, administrator.Raced.New("configuration %d is in force", n.tables.Configuration)
	}
	edited := n.tables
	if edit.Routes != nil {
		edited.Routes = *edit.Routes
	}
	if edit.Pools != nil {
		edited.Pools = *edit.Pools
	}
	if _, err := tabulator.Join(1, edited.Routes, edited.Pools); err != nil {
		return administrator.ApplyResult{}, administrator.Refused.New("%s", err)
	}
	edited.Configuration++
	n.tables = edited
	accepted := administrator.ApplyResult{Configuration: edited.Configuration}
	if edit.Base == 0 {
		accepted.Unreached = []identifier.DataCentre{"haskovo", "stara-zagora"}
	}
	return accepted, nil
}

func (n *fakeNode) Rollout(context.Context) (administrator.Rollout, error) {
	return administrator.Rollout{Configuration: 8, Refusal: "route names no pool", Nodes: []administrator.NodeConfiguration{
		{Node: "entry-1", DataCentre: "plovdiv", Configuration: 8},
		{Node: "entry-2", DataCentre: "haskovo", Configuration: 7},
		{Node: "entry-3", DataCentre: "haskovo", Configuration: 7, Unreachable: true},
	}}, nil
}

// TestCommands runs command lines against a fake node. In the test data, "file NAME"
// writes a file, and "run" executes a command line and prints its output and exit
// code. NODE is the node's address, and @ the directory of the files.
func TestCommands(t *testing.T) {
	for _, name := range []string{"usage", "check", "tables"} {
		t.Run(name, func(t *testing.T) {
			node := newFakeNode()
			server := httptest.NewServer(administrator.NewHandler(administrator.HandlerOptions{
				Observer: node, Publisher: node, Metrics: http.NotFoundHandler(),
				Scope: tally.NoopScope, Log: logger.Discard(),
			}))
			defer server.Close()
			directory := t.TempDir()
			anonymise := strings.NewReplacer(directory+"/", "", server.URL, "NODE")
			datadriven.RunTest(t, "testdata/"+name, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "file" {
					path := filepath.Join(directory, d.CmdArgs[0].Key)
					if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
						t.Fatal(err)
					}
					return ""
				}
				text := strings.NewReplacer("NODE", server.URL, "@", directory+"/").Replace(d.Input)
				var output bytes.Buffer
				code := cmd.Execute(t.Context(), strings.Fields(text), &output, &output)
				return fmt.Sprintf("%sexit code %d", anonymise.Replace(output.String()), code)
			})
		})
	}
}
