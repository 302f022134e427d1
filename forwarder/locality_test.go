package forwarder

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
)

// priceOf returns the price at which the bytes of a request of a load are worth a wait.
func priceOf(wait time.Duration) *localizer.Price {
	price := localizer.Price(float64(wait) * 1e9 / loadBytes)
	return &price
}

// TestLeavingInBurst guards against requests that are late or declined in a burst in one of three
// data centres while the servers of the others have room, also with many nodes that decide by
// themselves, and against traffic between data centres when the burst is over.
func TestLeavingInBurst(t *testing.T) {
	for _, nodes := range []int{12, 82, 350} {
		got := unevenLoad{nodes: nodes, rate: 207, burst: 4, burstsIn: 1, price: priceOf(20 * time.Millisecond)}.play(t)
		home := unevenLoad{nodes: nodes, rate: 207, burst: 4, burstsIn: 1, price: priceOf(time.Minute)}.play(t)
		if got.late > 0.5*home.late || got.declined > 0.5*home.declined {
			t.Errorf("%d nodes: %.0f late and %.0f declined, %.0f and %.0f if only repeats leave", nodes, got.late, got.declined, home.late, home.declined)
		}
		if got.calmRemote > 0.015*got.requests {
			t.Errorf("%d nodes: %.0f of %.0f requests leave although the burst is over", nodes, got.calmRemote, got.requests)
		}
	}
}

// TestDearBytesStay guards against traffic between data centres that saves little wait: demand
// that the data centre's own servers can carry, for any price but none.
func TestDearBytesStay(t *testing.T) {
	for _, wait := range []time.Duration{20 * time.Millisecond, time.Second} {
		if got := (unevenLoad{nodes: 82, rate: 207, burst: 1, price: priceOf(wait)}).play(t); got.remote > 0.005*got.requests || got.late+got.declined+got.failed > 0 {
			t.Errorf("price %v: %+v", wait, got)
		}
	}
}

// TestDataCentreWithoutServers guards against requests that fail where a data centre has no
// servers, or leave others for the servers of a data centre with more demand, whatever the price.
func TestDataCentreWithoutServers(t *testing.T) {
	got := unevenLoad{nodes: 82, rate: 207, burst: 1, emptyCentre: 1, price: priceOf(time.Hour)}.play(t)
	if got.late+got.declined+got.failed > 0 || got.remote < 0.3*got.requests || got.remote > 0.36*got.requests {
		t.Errorf("%+v", got)
	}
}

// localityStep is a pool of three data centres and a node in the first of them.
func localityStep() (*balancer, []Backend, tally.TestScope, *bytes.Buffer) {
	scope := tally.NewTestScope("", nil)
	lines := &bytes.Buffer{}
	b := newBalancer(unlimited{}, scope)
	b.locality = newLocality(*priceOf(20 * time.Millisecond), logger.New(lines, logrus.InfoLevel, nil), scope)
	var list []Backend
	for _, name := range []string{"a", "b", "c"} {
		list = append(list, Backend{Name: identifier.Member("desk-" + name), Pool: "desk", Role: identifier.Service, DataCentre: identifier.DataCentre(name)})
	}
	return b, list, scope, lines
}

// pickFor has a node of data centre a send requests for some time. Answers take a time by data
// centre. It returns the share that left.
func pickFor(b *balancer, list []Backend, now *time.Time, length time.Duration, took map[identifier.DataCentre]time.Duration) float64 {
	sent, left := 0.0, 0.0
	for end := now.Add(length); now.Before(end); *now = now.Add(400 * time.Millisecond) {
		backend, ok := b.pick(*now, list, nil, "a", uint64(sent))
		if !ok {
			continue
		}
		sent++
		if backend.DataCentre != "a" {
			left++
		}
		b.countSent(backend)
		b.recordResult(now.Add(took[backend.DataCentre]), backend, answered, took[backend.DataCentre])
		b.recordBytes(backend, "a", loadBytes)
	}
	return left / sent
}

// TestShareReturnsToZero guards against requests that go on to leave after the wait at home is
// over, and checks the metrics by which an operator sees what leaves.
func TestShareReturnsToZero(t *testing.T) {
	const quick = 60 * time.Millisecond
	b, list, scope, lines := localityStep()
	now := time.Unix(1000, 0)
	calm := map[identifier.DataCentre]time.Duration{"a": quick, "b": quick, "c": quick}
	// One request leaves to learn how quick others are.
	if left := pickFor(b, list, &now, 10*time.Second, calm); left > 0.05 {
		t.Errorf("%.2f leaves when calm", left)
	}
	if left := pickFor(b, list, &now, 20*time.Second, map[identifier.DataCentre]time.Duration{"a": 5 * quick, "b": quick, "c": quick}); left < 0.4 || left > 0.9 {
		t.Errorf("%.2f leaves when home is slow", left)
	}
	pickFor(b, list, &now, 12*time.Second, calm)
	if left := pickFor(b, list, &now, 10*time.Second, calm); left > 0 {
		t.Errorf("%.2f leaves after the wait at home is over", left)
	}
	for number, reason := range map[string]localizer.Reason{"6300": localizer.LongWait, "6302": localizer.ShortWait} {
		event := regexp.MustCompile(`"event":` + number + `,.*"reason":"` + string(reason) + `"`)
		if found := event.FindAllString(lines.String(), -1); len(found) != 1 {
			t.Errorf("event %s: %d times in %s", number, len(found), lines)
		}
	}
	counted := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counted[c.Name()+" "+c.Tags()["direction"]+" "+c.Tags()["role"]] = c.Value()
	}
	stays, leaves := counted["data-centre-requests stays service"], counted["data-centre-requests leaves service"]
	if stays == 0 || leaves == 0 || counted["data-centre-bytes leaves service"] != leaves*loadBytes {
		t.Errorf("counted %v", counted)
	}
}

// TestCutLinkKeepsRequestsAtHome guards against requests that fail because a share of them leaves
// for data centres that can't be reached. Home is slow from the start, so the test also guards
// against a node that takes slow servers for usual ones because it has seen no others.
func TestCutLinkKeepsRequestsAtHome(t *testing.T) {
	b, list, _, _ := localityStep()
	now := time.Unix(1000, 0)
	const quick = 60 * time.Millisecond
	if left := pickFor(b, list, &now, 20*time.Second, map[identifier.DataCentre]time.Duration{"a": 5 * quick, "b": quick, "c": quick}); left < 0.4 {
		t.Fatalf("%.2f leaves", left)
	}
	for _, backend := range list[1:] {
		b.countSent(backend)
		b.recordResult(now, backend, unreached, 0)
	}
	for turn := range uint64(100) {
		if got, ok := b.pick(now, list, nil, "a", turn); !ok || got.DataCentre != "a" {
			t.Fatalf("turn %d: %s", turn, got.Name)
		}
	}
}

// TestPriceTurnsLocalityOn guards against a price that has no effect, and against an effect
// without one.
func TestPriceTurnsLocalityOn(t *testing.T) {
	if f := New(Options{}); f.balancer.locality != nil {
		t.Error("on without a price")
	}
	if f := New(Options{RemotePrice: priceOf(0)}); f.balancer.locality == nil || f.balancer.locality.price != 0 {
		t.Error("off although bytes are free")
	}
}

// TestNoPriceNoLocality guards against a changed choice of back ends where no price is given: the
// same evidence and turns give the choices of the fixed cost of another data centre.
func TestNoPriceNoLocality(t *testing.T) {
	b, list, _, _ := localityStep()
	b.locality = nil
	now := time.Unix(1000, 0)
	for turn := range uint64(100) {
		costs := []float64{float64(turn % 2), remoteCost, remoteCost}
		b.statsFor(list[0]).inFlight = int(turn % 2)
		if got, ok := b.pick(now, list, nil, "a", turn); !ok || got.Name != list[chooseByCost(costs, turn)].Name {
			t.Fatalf("turn %d: %s", turn, got.Name)
		}
	}
}
