package measurer

import (
	"fmt"
	"io"
	"time"

	"github.com/foxtailspool/foxtailspool/placer"
)

// withoutElement returns a dispatcher variant that lacks an element of the policy.
func withoutElement(name string, element placer.Feature) Variant {
	return Variant{Name: name, Change: func(s *placer.Settings) { s.DisabledFeatures |= element }}
}

// Ablations lists the full dispatcher and one variant without each policy element.
var Ablations = []Variant{
	{Name: "dispatcher"},
	withoutElement("no-joint-grant", placer.JointGrant),
	withoutElement("no-early-refusal", placer.EarlyRefusal),
	withoutElement("no-pause", placer.Preemption),
	withoutElement("no-affinity", placer.PrefixAffinity),
	withoutElement("no-link-budget", placer.LinkBudget),
	withoutElement("no-fairness", placer.Fairness),
	withoutElement("no-short-prefill", placer.LongPrefillLimit),
	withoutElement("no-headroom", placer.Headroom),
	{Name: "no-lookahead", Change: func(s *placer.Settings) { s.Lookahead = 1 }},
	{Name: "no-size-delay", Change: func(s *placer.Settings) { s.DelayPerPiece = time.Nanosecond }},
	{Name: "no-lesser-share", Change: func(s *placer.Settings) { s.LesserShare = 0 }},
}

// Compare writes a table of the variants for each named scenario, or for all if none is named.
func Compare(output io.Writer, variants []Variant, scenarios []string, seeds int) {
	for i := range Settings {
		setting := &Settings[i]
		for _, scenario := range Scenarios {
			if !selected(scenario.Name, scenarios) {
				continue
			}
			_, _ = fmt.Fprintln(output)
			writeHeader(output, setting.Name+" "+scenario.Name)
			for _, variant := range variants {
				writeRow(output, variant.Name, Measure(setting, scenario, DispatcherStrategy(variant), seeds))
			}
		}
	}
}

func selected(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
