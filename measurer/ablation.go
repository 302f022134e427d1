package measurer

import (
	"fmt"
	"io"
	"time"

	"github.com/foxtailspool/foxtailspool/placer"
)

// without is the dispatcher with an element left out.
func without(name string, element placer.Feature) Variant {
	return Variant{Name: name, Change: func(s *placer.Settings) { s.DisabledFeatures |= element }}
}

// Ablations are the dispatcher, and the dispatcher without each element.
var Ablations = []Variant{
	{Name: "dispatcher"},
	without("no-joint-grant", placer.JointGrant),
	without("no-early-refusal", placer.EarlyRefusal),
	without("no-pause", placer.Preemption),
	without("no-affinity", placer.PrefixAffinity),
	without("no-link-budget", placer.LinkBudget),
	without("no-fairness", placer.Fairness),
	without("no-short-prefill", placer.LongPrefillLimit),
	without("no-headroom", placer.Headroom),
	{Name: "no-lookahead", Change: func(s *placer.Settings) { s.Lookahead = 1 }},
	{Name: "no-size-delay", Change: func(s *placer.Settings) { s.DelayPerPiece = time.Nanosecond }},
	{Name: "no-lesser-share", Change: func(s *placer.Settings) { s.LesserShare = 0 }},
}

// Compare runs variants of the dispatcher over some scenarios, or over all.
func Compare(output io.Writer, variants []Variant, scenarios []string, seeds int) {
	for i := range Settings {
		setting := &Settings[i]
		for _, scenario := range Scenarios {
			if !chosen(scenario.Name, scenarios) {
				continue
			}
			_, _ = fmt.Fprintln(output)
			writeHeader(output, setting.Name+" "+scenario.Name)
			for _, variant := range variants {
				writeRow(output, variant.Name, Measure(setting, scenario, Dispatched(variant), seeds))
			}
		}
	}
}

func chosen(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
