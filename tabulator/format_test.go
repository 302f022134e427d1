package tabulator_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

func TestFormatTOMLRoundTrip(t *testing.T) {
	routes := tabulator.Routes{Routes: []tabulator.Route{
		{Name: "audit", Model: "reader", Pool: "reader", Rank: identifier.Urgent, FirstToken: tabulator.Duration(700 * time.Millisecond)},
		{Name: "book", Path: "/book", Pool: "desk", Rank: identifier.Lesser, Repeatable: true},
	}}
	if got, err := tabulator.ParseTOML[tabulator.Routes](tabulator.FormatTOML(routes)); err != nil || !reflect.DeepEqual(got, routes) {
		t.Errorf("got %+v, %v", got, err)
	}
	pools := tabulator.Pools{Pools: []tabulator.Pool{{
		Name: "reader", Kind: tabulator.Models, PieceTokens: 16, LesserShare: 0.125,
		Members: []tabulator.Member{{Name: "p1", Address: "127.0.0.1:1", Role: identifier.Prefill, Pieces: 2000, ChecksFencing: true}},
	}}}
	if got, err := tabulator.ParseTOML[tabulator.Pools](tabulator.FormatTOML(pools)); err != nil || !reflect.DeepEqual(got, pools) {
		t.Errorf("got %+v, %v", got, err)
	}
}
