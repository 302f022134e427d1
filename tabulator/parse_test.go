package tabulator_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestJoin joins both tables of each case, which are separated by a line "---".
func TestJoin(t *testing.T) {
	datadriven.RunTest(t, "testdata/join", func(t *testing.T, d *datadriven.TestData) string {
		routesText, poolsText, _ := strings.Cut(d.Input, "---\n")
		routes, err := tabulator.ParseTOML[tabulator.Routes]([]byte(routesText))
		if err != nil {
			return err.Error()
		}
		pools, err := tabulator.ParseTOML[tabulator.Pools]([]byte(poolsText))
		if err != nil {
			return err.Error()
		}
		snapshot, err := tabulator.Join(1, routes, pools)
		if err != nil {
			return err.Error()
		}
		route, pool, ok := snapshot.Match(tabulator.Query{Path: "/book/van", Method: "POST"})
		if !ok {
			return "accepted, no match"
		}
		return "accepted, /book/van by " + string(route.Name) + " to " + string(pool.Name)
	})
}
