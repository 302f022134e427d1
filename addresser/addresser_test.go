package addresser_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/addresser"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// parseView parses a membership: one line per member with its node, data centre and
// state, and "unconfigured" if it has no configuration. The first is the own node.
func parseView(input string) *assigner.View {
	view := &assigner.View{}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		view.Members = append(view.Members, assigner.Member{
			Node: identifier.Node(fields[0]), CallerAddress: identifier.Address(fields[0] + ":80"),
			DataCentre: identifier.DataCentre(fields[1]), State: assigner.State(fields[2]), Configuration: 1,
		})
		if len(fields) > 3 && fields[3] == "unconfigured" {
			view.Members[len(view.Members)-1].Configuration = 0
		}
	}
	view.Self = view.Members[0]
	return view
}

// TestAnswer prints consecutive answers of one addresser.
func TestAnswer(t *testing.T) {
	datadriven.RunTest(t, "testdata/answer", func(t *testing.T, d *datadriven.TestData) string {
		view := parseView(d.Input)
		var limit, answers int
		d.ScanArgs(t, "limit", &limit)
		d.ScanArgs(t, "answers", &answers)
		a := addresser.New(addresser.Options{
			View: func() *assigner.View { return view }, DataCentre: view.Self.DataCentre, MaxAddresses: limit,
		})
		var out strings.Builder
		near := identifier.DataCentre("")
		if d.HasArg("near") {
			d.ScanArgs(t, "near", (*string)(&near))
		}
		for range answers {
			answer := a.Answer(near)
			for _, entry := range answer.Entries {
				fmt.Fprintf(&out, "%s/%s ", entry.Address, entry.DataCentre)
			}
			fmt.Fprintf(&out, "keep %v\n", answer.CacheTime)
		}
		return out.String()
	})
}

// BenchmarkSpread has 14,000 callers each ask one of 350 nodes. It reports the load
// of the busiest node relative to the mean, the callers of one node, and how many of
// them the busiest other node gets, by second address, when that node fails.
//
//	go test -run '^$' -bench Spread ./addresser
func BenchmarkSpread(b *testing.B) {
	view := &assigner.View{}
	for i := range 350 {
		name := fmt.Sprintf("n%03d", i)
		view.Members = append(view.Members, assigner.Member{
			Node: identifier.Node(name), CallerAddress: identifier.Address(name), State: assigner.Alive,
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc%d", i%7)), Configuration: 1,
		})
	}
	var answerers []*addresser.Addresser
	for i := range view.Members {
		own := *view
		own.Self = view.Members[i]
		answerers = append(answerers, addresser.New(addresser.Options{
			View: func() *assigner.View { return &own }, DataCentre: own.Self.DataCentre,
		}))
	}
	for range b.N {
		first, second := map[identifier.Address]int{}, map[identifier.Address]int{}
		for caller := range 14_000 {
			entries := answerers[(caller*7919)%350].Answer("").Entries
			first[entries[0].Address]++
			if entries[0].Address == "n000" {
				second[entries[1].Address]++
			}
		}
		b.ReportMetric(float64(maximum(first))*350/14_000, "busiest/mean")
		b.ReportMetric(float64(maximum(second)), "most-callers-taken-over")
		b.ReportMetric(float64(first["n000"]), "callers-of-a-node")
	}
}

func maximum(counts map[identifier.Address]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}

// TestSpread checks that each local member comes first equally often.
func TestSpread(t *testing.T) {
	view := parseView("a dc0 alive\nb dc0 alive\nc dc0 alive\nd dc1 alive\n")
	a := addresser.New(addresser.Options{View: func() *assigner.View { return view }, DataCentre: "dc0"})
	var firstAddresses []identifier.Address
	for range 300 {
		firstAddresses = append(firstAddresses, a.Answer("").Entries[0].Address)
	}
	slices.Sort(firstAddresses)
	if firstAddresses[0] != firstAddresses[99] || firstAddresses[100] != firstAddresses[199] || firstAddresses[200] != firstAddresses[299] {
		t.Errorf("firsts are not spread evenly: %v", firstAddresses)
	}
}
