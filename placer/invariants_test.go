package placer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// TestMain fixes the random seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomCluster simulates nodes and engines that send a placer random events.
type randomCluster struct {
	now    time.Time
	placer *Placer
	// pending maps the attempts that wait for an answer to their nodes.
	pending map[string]identifier.Node
	// granted are the grants that nodes hold, unconfirmed the cancel orders to confirm.
	granted     map[identifier.Grant]HeldGrant
	unconfirmed []Cancellation
	failedNodes map[identifier.Node]bool
	submitted   int
}

var clusterNodes = []identifier.Node{"n1", "n2", "n3"}

func newRandomCluster() *randomCluster {
	m := &randomCluster{
		now:         time.Unix(1000, 0),
		pending:     map[string]identifier.Node{},
		granted:     map[identifier.Grant]HeldGrant{},
		failedNodes: map[identifier.Node]bool{},
	}
	settings := Settings{Issuer: "g", LesserShare: 0.2, QueueLimit: 5}
	m.placer = New(m.now, settings)
	m.placer.Configure(settings, []Engine{
		{Member: "p1", Role: identifier.Prefill, Pieces: 1},
		{Member: "p2", Role: identifier.Prefill, Pieces: 1},
		{Member: "d1", Role: identifier.Decode, Pieces: 6},
		{Member: "d2", Role: identifier.Decode, Pieces: 9},
	})
	return m
}

func attemptName(request identifier.Request, attempt uint64) string {
	return fmt.Sprintf("%s/%d", request, attempt)
}

// applyDecisions advances the placer and applies its decisions and orders.
func (m *randomCluster) applyDecisions(t *rapid.T) {
	m.placer.Advance(m.now)
	decisions, orders := m.placer.TakeDecisions()
	for _, d := range decisions {
		name := attemptName(d.Request, d.Attempt)
		if m.pending[name] == "" {
			t.Fatalf("%s was answered but was not submitted or already answered", name)
		}
		delete(m.pending, name)
		if placed := d.Outcome.Placement; placed != nil {
			m.granted[placed.Grant] = HeldGrant{
				Grant: placed.Grant, Prefill: placed.Prefill, Decode: placed.Decode, Pieces: placed.Pieces,
				Demand: Demand{Request: d.Request, Attempt: placed.Attempt, Node: d.Node}, Stream: placed.Stream,
			}
		}
	}
	for _, o := range orders {
		delete(m.granted, o.Grant)
	}
	m.unconfirmed = append(m.unconfirmed, orders...)
}

func (m *randomCluster) Submit(t *rapid.T) {
	node := rapid.SampledFrom(clusterNodes).Draw(t, "node")
	if m.failedNodes[node] {
		t.Skip("the node is down")
	}
	m.submitted++
	request := identifier.Request(fmt.Sprint("r", m.submitted))
	if m.submitted > 1 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		request = identifier.Request(fmt.Sprint("r", rapid.IntRange(1, m.submitted-1).Draw(t, "request")))
	}
	d := Demand{
		Request:          request,
		Attempt:          uint64(m.submitted),
		Rank:             rapid.SampledFrom(identifier.Ranks[:]).Draw(t, "rank"),
		Account:          rapid.SampledFrom([]identifier.Account{"a", "b", "c"}).Draw(t, "account"),
		Node:             node,
		Prompt:           identifier.Tokens(rapid.IntRange(1, 14_000).Draw(t, "prompt")),
		MaxOutput:        100,
		FirstTokenBudget: time.Duration(rapid.IntRange(100, 5000).Draw(t, "wait")) * time.Millisecond,
		Suspect:          rapid.IntRange(0, 9).Draw(t, "suspect") == 0,
	}
	m.pending[attemptName(d.Request, d.Attempt)] = node
	m.placer.Submit(m.now, d)
	m.applyDecisions(t)
}

// drawGrant returns a random grant that a node holds.
func (m *randomCluster) drawGrant(t *rapid.T) HeldGrant {
	ids := make([]identifier.Grant, 0, len(m.granted))
	for id := range m.granted {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		t.Skip("no grant")
	}
	slices.Sort(ids)
	return m.granted[rapid.SampledFrom(ids).Draw(t, "grant")]
}

func (m *randomCluster) Release(t *rapid.T) {
	h := m.drawGrant(t)
	delete(m.granted, h.Grant)
	m.placer.Release(m.now, h.Grant, Result{Output: 50, Prefilled: true, Decoded: true})
	m.applyDecisions(t)
}

func (m *randomCluster) Renew(t *rapid.T) {
	h := m.drawGrant(t)
	h.Decoding = true
	if m.placer.Renew(m.now, h, false) != Renewed {
		delete(m.granted, h.Grant)
	}
	m.applyDecisions(t)
}

func (m *randomCluster) PassTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "milliseconds")) * time.Millisecond)
	m.applyDecisions(t)
}

func (m *randomCluster) FailNode(t *rapid.T) {
	node := rapid.SampledFrom(clusterNodes[1:]).Draw(t, "node")
	m.failedNodes[node] = true
	m.placer.NodeFailed(m.now, node)
	for id, h := range m.granted {
		if h.Demand.Node == node {
			delete(m.granted, id)
		}
	}
	for name, requester := range m.pending {
		if requester == node {
			delete(m.pending, name)
		}
	}
	m.applyDecisions(t)
}

func (m *randomCluster) RestoreNode(t *rapid.T) {
	delete(m.failedNodes, rapid.SampledFrom(clusterNodes[1:]).Draw(t, "node"))
}

func (m *randomCluster) Confirm(t *rapid.T) {
	if len(m.unconfirmed) == 0 {
		t.Skip("no cancel to confirm")
	}
	order := m.unconfirmed[0]
	m.unconfirmed = m.unconfirmed[1:]
	m.placer.ConfirmCancel(m.now, order.Grant)
	m.applyDecisions(t)
}

func (m *randomCluster) Report(t *rapid.T) {
	e := rapid.SampledFrom([]identifier.Member{"d1", "d2"}).Draw(t, "engine")
	m.placer.ReportLoad(m.now, e, Load{TakenAt: m.now, Free: m.placer.engines[e].Pieces - m.placer.engines[e].used})
	m.applyDecisions(t)
}

// Check asserts after every step that memory is not granted twice, sums match the grants,
// suspects share no engine, and queues stay within their limit.
func (m *randomCluster) Check(t *rapid.T) {
	used := map[identifier.Member]identifier.Pieces{}
	suspects := map[identifier.Member]int{}
	byRank := [len(identifier.Ranks)]identifier.Pieces{}
	for _, g := range m.placer.grants {
		used[g.Decode] += g.Pieces
		byRank[g.Demand.Rank] += g.Pieces
		if g.Demand.Suspect {
			suspects[g.Decode]++
		}
		if m.failedNodes[g.Demand.Node] && g.phase == leased {
			t.Fatalf("%s is leased to %s, which is down", g.Grant, g.Demand.Node)
		}
	}
	for name, e := range m.placer.engines {
		if used[name] > e.Pieces || used[name] != e.used {
			t.Fatalf("%s: sum of grants is %d, booked are %d of %d pieces", name, used[name], e.used, e.Pieces)
		}
		if suspects[name] > 1 {
			t.Fatalf("%s has the grants of %d suspects", name, suspects[name])
		}
	}
	if byRank != m.placer.usedByRank {
		t.Fatalf("sums by rank are %v, booked are %v", byRank, m.placer.usedByRank)
	}
	for _, rank := range identifier.Ranks {
		if waiting := m.placer.QueueLength(rank); waiting > m.placer.settings.QueueLimit {
			t.Fatalf("%d demands are queued, above the limit", waiting)
		}
	}
}

// checkAllReleased ends all leases and confirms all cancels, then asserts that all memory
// is free and every demand answered.
func (m *randomCluster) checkAllReleased(t *rapid.T) {
	for range 20 {
		m.now = m.now.Add(time.Second)
		m.applyDecisions(t)
		for _, order := range m.unconfirmed {
			m.placer.ConfirmCancel(m.now, order.Grant)
		}
		m.unconfirmed = nil
		m.applyDecisions(t)
	}
	if held := m.placer.HeldGrants(); len(held) != 0 {
		t.Fatalf("grants left after all leases expired: %v", held)
	}
	if len(m.pending) != 0 {
		t.Fatalf("attempts without an answer: %v", m.pending)
	}
	if len(m.placer.accounts) != 0 || len(m.placer.queued) != 0 {
		t.Fatalf("not cleaned up: accounts %v, queue %v", m.placer.accounts, m.placer.queued)
	}
}

func TestGrantInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRandomCluster()
		t.Repeat(rapid.StateMachineActions(m))
		m.checkAllReleased(t)
	})
}

// TestLesserShare checks that an urgent flood does not keep queued lesser work below its
// minimum share.
func TestLesserShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRandomCluster()
		for range 200 {
			for _, rank := range identifier.Ranks {
				m.submitted++
				d := Demand{
					Request: identifier.Request(fmt.Sprint("r", m.submitted)), Attempt: 1, Rank: rank, Account: "a",
					Node: "n1", Prompt: 500, MaxOutput: 100, FirstTokenBudget: 30 * time.Second,
				}
				m.pending[attemptName(d.Request, 1)] = d.Node
				m.placer.Submit(m.now, d)
			}
			m.now = m.now.Add(100 * time.Millisecond)
			m.applyDecisions(t)
			if len(m.granted) > 10 {
				m.Release(t)
			}
		}
		if m.placer.usedByRank[identifier.Lesser] < 3 {
			t.Fatalf("lesser work holds %d of 15 pieces, want at least 3", m.placer.usedByRank[identifier.Lesser])
		}
	})
}
