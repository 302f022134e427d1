package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// quotaFleet is a fleet of nodes that see one another as states says.
type quotaFleet struct {
	states []assigner.State
	quotas []*Quotas
	views  []*assigner.View
	told   [][]byte
}

func newQuotaFleet(nodes int) *quotaFleet {
	f := &quotaFleet{states: make([]assigner.State, nodes), views: make([]*assigner.View, nodes)}
	for n := range nodes {
		f.states[n] = assigner.Alive
		f.quotas = append(f.quotas, NewQuotas(QuotaOptions{
			View:      func() *assigner.View { return f.views[n] },
			Broadcast: func(_ string, payload []byte) { f.told = append(f.told, payload) },
		}))
	}
	f.publish()
	return f
}

// publish gives all nodes a view of the present states.
func (f *quotaFleet) publish() {
	for n := range f.views {
		view := &assigner.View{}
		for m, state := range f.states {
			view.Members = append(view.Members, assigner.Member{Node: identifier.Node(fmt.Sprintf("n-%03d", m)), State: state})
		}
		view.Self = view.Members[n]
		f.views[n] = view
	}
}

// tell delivers all messages to all nodes.
func (f *quotaFleet) tell() {
	for _, payload := range f.told {
		for _, q := range f.quotas {
			q.Receive(payload, 0)
		}
	}
	f.told = nil
}

// takeAll lets the given nodes take all they may for a time and returns how many they took.
func (f *quotaFleet) takeAll(now *time.Time, span time.Duration, member identifier.Member, nodes func(n int) bool) int {
	taken := 0
	for end := now.Add(span); now.Before(end); *now = now.Add(20 * time.Millisecond) {
		for n, q := range f.quotas {
			for nodes(n) && q.Take(*now, member, time.Time{}) {
				taken++
			}
		}
	}
	return taken
}

func allNodes(int) bool { return true }

func mustRate(perSecond float64) Rate {
	rate, ok := NewRate(perSecond)
	if !ok {
		panic("no rate")
	}
	return rate
}

// TestQuotaIsTheFleets guards against a limit that many nodes, each with a small part of it,
// exceed together, and against one that they hardly use.
func TestQuotaIsTheFleets(t *testing.T) {
	for _, nodes := range []int{1, 6, 89} {
		for _, rate := range []float64{0.2, 1, 12, 41} {
			f := newQuotaFleet(nodes)
			now := time.Now()
			f.quotas[0].Named(now, now, "m", time.Time{}, mustRate(rate))
			f.tell()
			f.takeAll(&now, 4*time.Second, "m", allNodes)
			const span = 4 * time.Second
			for range 5 {
				got := float64(f.takeAll(&now, span, "m", allNodes))
				if got > 1.5*rate*span.Seconds()+5 {
					t.Errorf("%d nodes took %v at %g a second in %v", nodes, got, rate, span)
				}
				if got < 0.6*rate*span.Seconds()-2 {
					t.Errorf("%d nodes took only %v at %g a second in %v", nodes, got, rate, span)
				}
			}
		}
	}
}

// TestQuotaOfLostNodes guards against nodes that take over the part of lost ones at once, as
// those may have lost only the others, and against parts that are lost for good.
func TestQuotaOfLostNodes(t *testing.T) {
	const nodes, rate = 8, 4.0
	f := newQuotaFleet(nodes)
	now := time.Now()
	f.quotas[0].Named(now, now, "m", time.Time{}, mustRate(rate))
	f.tell()
	f.takeAll(&now, 2*time.Second, "m", allNodes)
	for n := range 3 {
		f.states[n] = assigner.Dead
	}
	f.publish()
	for n := range 3 { // Each of the lost nodes sees all others as dead.
		for m := range f.views[n].Members {
			f.views[n].Members[m].State = assigner.Dead
		}
		f.views[n].Members[n].State = assigner.Alive
		f.views[n].Self = f.views[n].Members[n]
	}
	if got := float64(f.takeAll(&now, 4*time.Second, "m", allNodes)); got > 4*rate+nodes {
		t.Errorf("%v taken in 4 s after nodes were lost, at %g a second", got, rate)
	}
	f.takeAll(&now, seatTime, "m", allNodes)
	if got := float64(f.takeAll(&now, 8*time.Second, "m", func(n int) bool { return n >= 3 })); got < 8*rate*0.8 {
		t.Errorf("the other nodes took %v in 8 s at %g a second", got, rate)
	}
}

// TestQuotaAfterReplacements guards against nodes that take themselves for cut off because most
// nodes that they remember have been replaced over time.
func TestQuotaAfterReplacements(t *testing.T) {
	const rate = 4.0
	f := newQuotaFleet(20)
	now := time.Now()
	f.quotas[19].Named(now, now, "m", time.Time{}, mustRate(rate))
	f.tell()
	for n := range 14 {
		f.states[n] = assigner.Dead
	}
	f.publish()
	alive := func(n int) bool { return n >= 14 }
	f.takeAll(&now, time.Second, "m", alive)
	now = now.Add(2 * time.Minute)
	for _, q := range f.quotas {
		q.Named(now, now, "m", time.Time{}, mustRate(rate))
	}
	f.takeAll(&now, 2*time.Second, "m", alive)
	if got := float64(f.takeAll(&now, 8*time.Second, "m", alive)); got < 8*rate*0.8 {
		t.Errorf("the remaining nodes took %v in 8 s at %g a second", got, rate)
	}
	if got := f.quotas[19].OwnerRate(now, "m", time.Time{}); got != rate {
		t.Errorf("an owner may place %g a second, want %g", got, rate)
	}
}

// TestQuotaEnds guards against nodes that keep to a limit that has ended, or forget one that
// holds because messages arrive in another order or an old answer comes late.
func TestQuotaEnds(t *testing.T) {
	f := newQuotaFleet(3)
	now := time.Now()
	q := f.quotas[0]
	if !q.Named(now, now, "m", time.Time{}, mustRate(1)) {
		t.Error("a new rate is no news")
	}
	limited := f.told
	q.Named(now.Add(time.Second), now.Add(-time.Second), "m", time.Time{}, mustRate(0))
	if !q.Allowance(now.Add(time.Second), "m", time.Time{}).Limited {
		t.Error("an answer to an earlier request ended the limit")
	}
	f.tell()
	now = now.Add(2 * time.Second)
	if !f.quotas[1].Allowance(now, "m", time.Time{}).Limited {
		t.Error("another node does not know the limit")
	}
	q.Named(now, now, "m", time.Time{}, mustRate(0))
	f.tell()
	f.quotas[1].Receive(limited[0], 0)
	for n, q := range f.quotas {
		if q.Allowance(now, "m", time.Time{}).Limited {
			t.Errorf("node %d keeps to the limit", n)
		}
	}
}

// TestQuotaIsOfOneProcess guards against the limit of a back end's process that outlives it.
func TestQuotaIsOfOneProcess(t *testing.T) {
	f := newQuotaFleet(2)
	now := time.Now()
	earlier, later := time.UnixMilli(1000), time.UnixMilli(2000)
	f.quotas[0].Named(now, now, "m", earlier, mustRate(1))
	f.tell()
	for n, q := range f.quotas {
		if !q.Allowance(now, "m", earlier).Limited || q.Allowance(now, "m", later).Limited {
			t.Errorf("node %d: the limit is not that of the process", n)
		}
	}
	f.quotas[1].Named(now, now, "m", later, mustRate(2))
	f.tell()
	if !f.quotas[0].Allowance(now, "m", later).Limited {
		t.Error("the limit of the later process is not known")
	}
}

// TestQuotaMessagesInAnyOrder guards against a back end without a limit because a message
// about its earlier process came late, and against a limit that a node which joins takes for
// new though it has ended since.
func TestQuotaMessagesInAnyOrder(t *testing.T) {
	earlier, later := time.UnixMilli(1000), time.UnixMilli(2000)
	now := time.Now()
	f := newQuotaFleet(3)
	for rate := range 3 {
		f.quotas[0].Named(now, now, "m", earlier, mustRate(float64(rate+1)))
	}
	old := f.told
	f.told = nil
	f.quotas[1].Named(now, now, "m", later, mustRate(2))
	receiver := f.quotas[2]
	receiver.Receive(f.told[0], 0)
	for _, payload := range old {
		receiver.Receive(payload, 0)
	}
	if !receiver.Allowance(now, "m", later).Limited || receiver.Allowance(now, "m", earlier).Limited {
		t.Error("a late message about the earlier process ended the limit of the later one")
	}
	joined := newQuotaFleet(1).quotas[0]
	joined.Receive(f.told[0], quotaLifetime)
	if joined.Allowance(now, "m", later).Limited {
		t.Error("a limit holds that nobody has confirmed for its lifetime")
	}
}

// TestQuotaOfLongName guards against a rate that only one node learns because the back end's name is
// too long for a message.
func TestQuotaOfLongName(t *testing.T) {
	for _, member := range []identifier.Member{"i-1", identifier.Member(strings.Repeat("i", 600)), identifier.Member(strings.Repeat("\"", 100))} {
		f := newQuotaFleet(2)
		now := time.Now()
		f.quotas[0].Named(now, now, member, time.Time{}, mustRate(10))
		for _, payload := range f.told {
			if len(payload) > 512 {
				t.Errorf("a message of %d bytes", len(payload))
			}
		}
		f.tell()
		for n, q := range f.quotas {
			if !q.Allowance(time.Now(), member, time.Time{}).Limited || q.OwnerRate(time.Now(), member, time.Time{}) != 10 {
				t.Errorf("node %d knows no rate of a name of %d bytes", n, len(member))
			}
		}
	}
}
