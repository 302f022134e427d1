package tabulator_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestDelta tests that Apply inverts Diff.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 12)
		before, after := text.Draw(t, "before"), text.Draw(t, "after")
		got, err := tabulator.Diff(before, after).Apply(before)
		if err != nil || !bytes.Equal(got, after) {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// TestMatchIndexed tests that the index finds the same route as a linear scan.
func TestMatchIndexed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.SampledFrom([]identifier.Account{"", "a", "b", "c"})
		model := rapid.SampledFrom([]identifier.Model{"", "m", "n"})
		var routes tabulator.Routes
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			routes.Routes = append(routes.Routes, tabulator.Route{
				Name:    identifier.Route(rune('p' + len(routes.Routes))),
				Account: account.Draw(t, "account"), Model: model.Draw(t, "model"), Pool: "desk",
				Accounts: rapid.SliceOfN(rapid.SampledFrom([]identifier.Account{"a", "b"}), 0, 2).Draw(t, "accounts"),
			})
		}
		pools := tabulator.Pools{Pools: []tabulator.Pool{{
			Name: "desk", Kind: tabulator.Services,
			Members: []tabulator.Member{{Name: "x", Address: "127.0.0.1:1", Role: identifier.Service}},
		}}}
		indexed, err := tabulator.Join(1, routes, pools)
		if err != nil {
			t.Fatal(err)
		}
		unindexed := &tabulator.Snapshot{Routes: routes, Pools: pools}
		query := tabulator.Query{Account: account.Draw(t, "asked"), Model: model.Draw(t, "asked model")}
		got, _, ok := indexed.Match(query)
		want, _, wantOK := unindexed.Match(query)
		if got.Name != want.Name || ok != wantOK {
			t.Fatalf("%+v: got %q, want %q", query, got.Name, want.Name)
		}
	})
}

// FuzzTables tests that no text makes the parser panic and that accepted tables
// survive a round trip through the canonical text.
func FuzzTables(f *testing.F) {
	cases, err := os.ReadFile("testdata/join")
	if err != nil {
		f.Fatal(err)
	}
	for _, text := range strings.Split(string(cases), "join\n")[1:] {
		input, _, _ := strings.Cut(text, "----\n")
		f.Add(input)
	}
	f.Fuzz(func(t *testing.T, text string) {
		routesText, poolsText, _ := strings.Cut(text, "---\n")
		routes, err := tabulator.ParseTOML[tabulator.Routes]([]byte(routesText))
		if err != nil {
			return
		}
		pools, err := tabulator.ParseTOML[tabulator.Pools]([]byte(poolsText))
		if err != nil {
			return
		}
		snapshot, err := tabulator.Join(1, routes, pools)
		if err != nil {
			return
		}
		content := snapshot.Content()
		decoded, err := content.Snapshot(1)
		if err != nil {
			t.Fatalf("accepted tables are refused after the round trip: %v", err)
		}
		if decoded.Content().Digest() != content.Digest() {
			t.Fatalf("changed by the round trip: %s", content.Routes)
		}
	})
}
