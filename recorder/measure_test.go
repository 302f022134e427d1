package recorder

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// load is a steady rate of calls through one node that owns every shard, so that it
// makes the store calls of a whole fleet.
type load struct {
	rate    int
	options Options
	// callDuration is how long each call runs.
	callDuration time.Duration
	answerBytes  int
}

type loadResult struct {
	writes, reads, bytes float64
	median, p99          time.Duration
	// cpuPerClaim is the CPU time of a claim, its outcome and their fake store calls.
	cpuPerClaim        time.Duration
	largestObjectBytes int
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

const loadDuration = 60 * time.Second

func (l load) run(t *testing.T) loadResult {
	t.Helper()
	store := newFakeStore()
	store.latency = 5 * time.Millisecond
	l.options.Self, l.options.Incarnation = "a", 1
	l.options.Store, l.options.View = store, singleNodeView("a", 1)
	r, stop := startStoppable(t, l.options)
	before := processCPUTime()
	var mutex sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	count := l.rate * int(loadDuration/time.Second)
	for i := range count {
		group.Go(func() {
			call := newCall(newKey(i, 10*time.Millisecond), 1, "a")
			call.Attempt = identifier.Attempt(newKey(i+count, 0))
			start := time.Now()
			claim := r.Claim(context.Background(), call)
			mutex.Lock()
			latencies = append(latencies, time.Since(start))
			mutex.Unlock()
			if claim.Verdict != Run {
				return
			}
			time.Sleep(l.callDuration)
			r.Settle(context.Background(), call, &Answer{Status: 200, ContentType: "application/json", Body: make([]byte, l.answerBytes)})
		})
		time.Sleep(time.Second / time.Duration(l.rate))
	}
	group.Wait()
	stop()
	used := processCPUTime() - before
	slices.Sort(latencies)
	seconds := (loadDuration + l.callDuration).Seconds()
	result := loadResult{
		writes: float64(store.writes) / seconds,
		reads:  float64(store.reads) / seconds,
		bytes:  float64(store.bytes) / seconds,
		median: latencies[len(latencies)/2],
		p99:    latencies[len(latencies)*99/100],

		cpuPerClaim: used / time.Duration(count),
	}
	for _, object := range store.objects {
		result.largestObjectBytes = max(result.largestObjectBytes, len(object.Spec))
	}
	return result
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMeasureStoreLoad prints the rate of store calls for several rates of claims:
//
//	MEASURE=1 go test -run TestMeasureStoreLoad -v ./recorder
func TestMeasureStoreLoad(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement, run with MEASURE=1")
	}
	layouts := []Options{
		{},
		{Window: 30 * time.Second},
		{BucketWidth: 2 * time.Second},
		{CommitInterval: 250 * time.Millisecond},
		{Shards: 8, BucketWidth: time.Second, OutcomeBatchDelay: time.Second, CommitInterval: 100 * time.Millisecond},
		{Shards: 24, CommitInterval: 250 * time.Millisecond},
		{Shards: 1},
		{CommitInterval: time.Millisecond},
	}
	fmt.Println("shards bucket commit  delay claims/s writes/s reads/s kB/s  kB/write median   p99 largest µs/claim")
	for _, options := range layouts {
		for _, rate := range []int{1, 20, 100, 380, 1000} {
			var result loadResult
			synctest.Test(t, func(t *testing.T) {
				result = load{rate: rate, options: options, callDuration: time.Second, answerBytes: 200}.run(t)
			})
			filled := options
			filled.applyDefaults()
			fmt.Printf("%6d %6s %6s %6s %8d %8.1f %7.1f %5.0f %8.1f %6.0fms %6.0fms %7d %8d\n",
				filled.Shards, filled.BucketWidth, filled.CommitInterval, filled.OutcomeBatchDelay, rate, result.writes, result.reads,
				result.bytes/1e3, result.bytes/result.writes/1e3, milliseconds(result.median),
				milliseconds(result.p99), result.largestObjectBytes, result.cpuPerClaim.Microseconds())
		}
	}
}

// BenchmarkBatch measures the CPU time of one batch of claims and the batch of
// their answers, written to the fake store:
//
//	go test -run '^$' -bench Batch ./recorder
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := New(Options{Self: "a", Incarnation: 1, Store: newFakeStore(), View: singleNodeView("a", 1)})
			if _, known := r.loadLayout(context.Background()); !known {
				b.Fatal("no layout")
			}
			keyNumber := 0
			var stored int
			for b.Loop() {
				c := &committer{recorder: r, location: &locationState{id: location{bucket: int64(keyNumber)}}}
				claims, outcomes := newBatches(size, &keyNumber)
				if c.commit(context.Background(), claims) || c.commit(context.Background(), outcomes) {
					b.Fatal("batch failed")
				}
				data, _ := c.location.parts[0].page.encode()
				stored = len(data)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*size), "µs/claim")
			b.ReportMetric(float64(stored)/float64(size), "B/entry")
		})
	}
}

func newBatches(size int, keyNumber *int) (claims, outcomes []*operation) {
	for range size {
		*keyNumber++
		key := newKey(*keyNumber, 0)
		call := newCall(key, 1, "plovdiv-1")
		call.Attempt = identifier.Attempt(newKey(-*keyNumber, 0))
		call.Incarnation = identifier.Incarnation(time.Now().UnixNano())
		parsed := parsedKey{text: string(key), issued: time.Now()}
		answer := &Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
		claims = append(claims, newOperation(opClaim, parsed, call, nil))
		outcomes = append(outcomes, newOperation(opAnswer, parsed, call, answer))
	}
	return claims, outcomes
}
