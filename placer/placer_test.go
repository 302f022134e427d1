package placer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// policyScript runs a script of testdata/policy against one placer.
type policyScript struct {
	t       *testing.T
	now     time.Time
	start   time.Time
	placer  *Placer
	grants  map[identifier.Grant]HeldGrant
	demands map[string]Demand
}

func TestPolicy(t *testing.T) {
	datadriven.Walk(t, "testdata/policy", func(t *testing.T, path string) {
		s := &policyScript{t: t, start: time.Unix(1000, 0), grants: map[identifier.Grant]HeldGrant{}, demands: map[string]Demand{}}
		s.now = s.start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}

func (s *policyScript) run(d *datadriven.TestData) string {
	s.setTime(d)
	switch d.Cmd {
	case "shard":
		s.configure(d)
	case "submit":
		for _, name := range strings.Fields(d.CmdArgs[0].Key) {
			s.submit(d, name)
		}
	case "withdraw":
		s.placer.Withdraw(s.now, identifier.Request(d.CmdArgs[0].Key), 1)
	case "release":
		var result Result
		s.scanOptional(d, "output", &result.Output)
		s.scanOptional(d, "failed", &result.FailedMember)
		result.Decoded = result.Output > 0
		s.placer.Release(s.now, identifier.Grant(d.CmdArgs[0].Key), result)
	case "renew":
		return s.renew(d)
	case "gone":
		s.placer.NodeFailed(s.now, identifier.Node(d.CmdArgs[0].Key))
	case "confirm":
		s.placer.ConfirmCancel(s.now, identifier.Grant(d.CmdArgs[0].Key))
	case "report":
		s.report(d)
	case "advance":
	case "held":
		return s.listGrants()
	default:
		d.Fatalf(s.t, "unknown command %s", d.Cmd)
	}
	s.placer.Advance(s.now)
	return s.formatDecisions()
}

// setTime sets the time from an at argument, such as at=1.5s.
func (s *policyScript) setTime(d *datadriven.TestData) {
	var timeText string
	d.MaybeScanArgs(s.t, "at", &timeText)
	if timeText != "" {
		s.now = s.start.Add(s.parseDuration(timeText))
	}
}

func (s *policyScript) parseDuration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return parsed
}

// scanOptional reads an argument that may be missing.
func (s *policyScript) scanOptional(d *datadriven.TestData, name string, into any) {
	var text string
	if !d.MaybeScanArgs(s.t, name, &text) {
		return
	}
	switch field := into.(type) {
	case *identifier.Tokens:
		*field = identifier.Tokens(s.parseInt(text))
	case *identifier.Pieces:
		*field = identifier.Pieces(s.parseInt(text))
	case *identifier.Member:
		*field = identifier.Member(text)
	case *identifier.Account:
		*field = identifier.Account(text)
	case *identifier.Node:
		*field = identifier.Node(text)
	case *identifier.DataCentre:
		*field = identifier.DataCentre(text)
	case *identifier.Role:
		*field = identifier.Role(text)
	case *time.Duration:
		*field = s.parseDuration(text)
	case *float64:
		*field, _ = strconv.ParseFloat(text, 64)
	case *uint64:
		*field = uint64(s.parseInt(text))
	case *int:
		*field = s.parseInt(text)
	case *bool:
		*field = text == "yes"
	default:
		s.t.Fatalf("cannot scan %s into %T", name, into)
	}
}

func (s *policyScript) parseInt(text string) int {
	parsed, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return parsed
}

// configure creates a placer or reconfigures it. Input lines are engines: name, role,
// pieces and flags.
func (s *policyScript) configure(d *datadriven.TestData) {
	settings := Settings{Issuer: "g"}
	s.scanOptional(d, "lesser-share", &settings.LesserShare)
	s.scanOptional(d, "queue-limit", &settings.QueueLimit)
	s.scanOptional(d, "rebuild", &settings.RebuildTime)
	s.scanOptional(d, "lookahead", &settings.Lookahead)
	var engines []Engine
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		fields := strings.Fields(line)
		e := Engine{
			Member: identifier.Member(fields[0]),
			Role:   identifier.Role(fields[1]),
			Pieces: identifier.Pieces(s.parseInt(fields[2])),
		}
		for _, flag := range fields[3:] {
			if flag == "leaving" {
				e.Draining = true
			} else {
				e.DataCentre = identifier.DataCentre(flag)
			}
		}
		engines = append(engines, e)
	}
	if s.placer == nil || d.HasArg("new") {
		if s.placer != nil {
			settings.Issuer = "h"
		}
		s.placer = New(s.now, settings)
	}
	s.placer.Configure(settings, engines)
}

// submit submits a demand that needs one piece unless the prompt is longer.
func (s *policyScript) submit(d *datadriven.TestData, name string) {
	demand := Demand{
		Request: identifier.Request(name), Attempt: 1, Account: "a", Node: "n1",
		Prompt: 1000, MaxOutput: 100, FirstTokenBudget: time.Second, MaxTokenInterval: 100 * time.Millisecond,
	}
	if d.HasArg("lesser") {
		demand.Rank = identifier.Lesser
	}
	demand.Suspect = d.HasArg("suspect")
	s.scanOptional(d, "attempt", &demand.Attempt)
	s.scanOptional(d, "account", &demand.Account)
	s.scanOptional(d, "node", &demand.Node)
	s.scanOptional(d, "prompt", &demand.Prompt)
	s.scanOptional(d, "wait", &demand.FirstTokenBudget)
	s.scanOptional(d, "between", &demand.MaxTokenInterval)
	var avoid identifier.Member
	if s.scanOptional(d, "avoid", &avoid); avoid != "" {
		demand.Avoid = append(demand.Avoid, avoid)
	}
	demand.Prefixes = s.leadingPrefixes(d, "blocks")
	s.demands[name] = demand
	s.placer.Submit(s.now, demand)
}

// leadingPrefixes returns the prefixes of as many leading blocks as the argument says.
func (s *policyScript) leadingPrefixes(d *datadriven.TestData, name string) []uint64 {
	var blocks int
	s.scanOptional(d, name, &blocks)
	var prefixes []uint64
	for block := range blocks {
		prefixes = append(prefixes, uint64(block+1))
	}
	return prefixes
}

func (s *policyScript) renew(d *datadriven.TestData) string {
	held, known := s.grants[identifier.Grant(d.CmdArgs[0].Key)]
	if !known {
		d.Fatalf(s.t, "unknown grant")
	}
	held.Decoding = d.HasArg("decoding")
	s.scanOptional(d, "output", &held.Output)
	names := [...]string{Renewed: "renewed", Unknown: "unknown", Revoked: "revoked"}
	text := names[s.placer.Renew(s.now, held, d.HasArg("with-demand"))] + "\n"
	s.placer.Advance(s.now)
	return text + s.formatDecisions()
}

func (s *policyScript) report(d *datadriven.TestData) {
	load := Load{TakenAt: s.now}
	s.scanOptional(d, "free", &load.Free)
	s.scanOptional(d, "step", &load.StepTime)
	s.scanOptional(d, "role", &load.Role)
	load.CacheEventsRead, load.CacheEventsLost = d.HasArg("cache-known"), d.HasArg("cache-lost")
	load.Cached, load.Evicted = s.leadingPrefixes(d, "cached"), s.leadingPrefixes(d, "evicted")
	for _, line := range strings.Fields(d.Input) {
		name, stream, _ := strings.Cut(line, "/")
		load.Holding = append(load.Holding, Holding{Request: identifier.Request(name), Stream: uint64(s.parseInt(stream)), Pieces: 1})
	}
	s.placer.ReportLoad(s.now, identifier.Member(d.CmdArgs[0].Key), load)
}

func (s *policyScript) listGrants() string {
	var text strings.Builder
	for _, h := range s.placer.HeldGrants() {
		fmt.Fprintf(&text, "%s %s/%d on %s pieces %d\n", h.Grant, h.Demand.Request, h.Demand.Attempt, h.Decode, h.Pieces)
	}
	return text.String()
}

// formatDecisions formats the decisions and orders of the last command.
func (s *policyScript) formatDecisions() string {
	var text strings.Builder
	decisions, orders := s.placer.TakeDecisions()
	for _, d := range decisions {
		fmt.Fprintf(&text, "%s/%d ", d.Request, d.Attempt)
		if refused := d.Outcome.Refusal; refused != nil {
			fmt.Fprintf(&text, "refused %s, retry after %v\n", refused.Reason, refused.RetryAfter)
			continue
		}
		placed := d.Outcome.Placement
		s.grants[placed.Grant] = HeldGrant{
			Grant: placed.Grant, Demand: s.demands[string(d.Request)], Prefill: placed.Prefill,
			Decode: placed.Decode, Pieces: placed.Pieces, Stream: placed.Stream,
		}
		fmt.Fprintf(&text, "granted %s: %s, %s, pieces %d, attempt %d of stream %d\n",
			placed.Grant, placed.Prefill, placed.Decode, placed.Pieces, placed.Attempt, placed.Stream)
	}
	for _, o := range orders {
		fmt.Fprintf(&text, "cancel %s/%d on %v\n", o.Request, o.Stream, o.Members)
	}
	return text.String()
}
