package limiter

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"
)

// TestAbsurdRatesAreNoLimit guards against a rate that makes a negative number of senders: one
// server that named 2^64 - 1 stopped its service on all nodes (review/10).
func TestAbsurdRatesAreNoLimit(t *testing.T) {
	for _, perSecond := range []float64{math.MaxUint64, 1 << 63, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN(), -1} {
		if rate, ok := NewRate(perSecond); ok || rate != (Rate{}) {
			t.Errorf("%g is a rate of %g", perSecond, rate.PerSecond())
		}
	}
	if rate, ok := NewRate(math.SmallestNonzeroFloat64); !ok || rate.PerSecond() != minRate {
		t.Errorf("the smallest number is a rate of %g", rate.PerSecond())
	}
	f := newQuotaFleet(3)
	for _, number := range []string{"18446744073709551615", "9223372036854775808", "1e300", "-1"} {
		f.told = append(f.told, fmt.Appendf(nil, `{"member":"m","rate":%s,"sequence":1,"process":0}`, number))
	}
	f.tell()
	for n, q := range f.quotas {
		if a := q.Allowance(time.Now(), "m", time.Time{}); a.Limited || !a.Now() {
			t.Errorf("node %d: %+v", n, a)
		}
	}
}

// TestAbsurdMessagesDontSilenceLaterOnes guards against one message with the largest sequence
// number, or the start of a process in the far future, after which nodes ignore all others.
func TestAbsurdMessagesDontSilenceLaterOnes(t *testing.T) {
	f := newQuotaFleet(2)
	f.told = append(f.told,
		[]byte(`{"member":"m","rate":1,"sequence":18446744073709551615,"process":0}`),
		[]byte(`{"member":"m","rate":1,"sequence":1,"process":9223372036854775807}`),
		[]byte(`{"member":"m","rate":1,"sequence":1,"process":-9223372036854775808}`))
	f.tell()
	now := time.Now()
	f.quotas[0].Named(now, now, "m", now.Add(-time.Hour), mustRate(2))
	f.tell()
	if got := f.quotas[1].OwnerRate(now, "m", now.Add(-time.Hour)); got != 2 {
		t.Errorf("the later rate is %g", got)
	}
}

// TestQuotasAreBounded guards against messages about ever more back ends that take up memory.
func TestQuotasAreBounded(t *testing.T) {
	q := newQuotaFleet(1).quotas[0]
	for n := range maxQuotas + 10 {
		q.Receive(fmt.Appendf(nil, `{"member":"m-%d","rate":1,"sequence":1,"process":0}`, n), 0)
	}
	if len(q.quotas) > maxQuotas {
		t.Errorf("%d back ends are remembered", len(q.quotas))
	}
}

// FuzzReceiveQuota guards against a message of another node that makes this one panic or work
// with a rate out of bounds.
func FuzzReceiveQuota(f *testing.F) {
	f.Add([]byte(`{"member":"m","rate":18446744073709551615,"sequence":1,"process":0}`), int64(0))
	f.Add([]byte(`{"member":"m","rate":4.5,"sequence":18446744073709551615,"process":-1}`), int64(-1))
	f.Add([]byte(`{"member":"m","rate":1e-300,"sequence":2,"process":9223372036854775807}`), int64(math.MaxInt64))
	f.Add([]byte(`{"member":"m","rate":null}`), int64(1))
	f.Add([]byte(`{"rate":458618,"9":0}`), int64(-41))
	f.Fuzz(func(t *testing.T, payload []byte, age int64) {
		q := newQuotaFleet(3).quotas[0]
		q.Receive(payload, time.Duration(age))
		for member := range q.quotas {
			for range 3 {
				now := time.Now()
				a := q.Allowance(now, member, time.Time{})
				if a.Wait < 0 || q.Take(now, member, time.Time{}) != a.Now() {
					t.Errorf("%+v", a)
				}
			}
			if rate := q.OwnerRate(time.Now(), member, time.Time{}); !(rate >= 0 && rate <= maxRate) {
				t.Errorf("owner's rate %g", rate)
			}
		}
		var message quotaMessage
		if json.Unmarshal(payload, &message) == nil {
			if again, err := json.Marshal(message); err != nil || len(again) == 0 {
				t.Errorf("%v can't be passed on: %v", message, err)
			}
		}
	})
}
