package starter_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const deadlyPart = "dead"

// deadlyTraffic is traffic of one route, of which some requests have a part that crashes the
// engines that answer them.
type deadlyTraffic struct {
	// prompt is the format of a prompt's parts; %[1]s is the deadly part or that of a sound
	// request, %[2]x the request's own.
	prompt string
	// output is the number of tokens of an answer, of 1 ms each.
	output int
	// soundEvery is the time between two sound requests. Deadly ones come burst of them at a
	// time, burstGap apart, each deadlyEvery.
	soundEvery, deadlyEvery, burstGap time.Duration
	burst                             int
}

// request returns a model request with a path, a body and a last part of its own.
func (d deadlyTraffic) request(n int, part string) request {
	c := quote()
	c.path = fmt.Sprintf("/quote/%d", n)
	c.body = fmt.Sprintf("%s-%d", c.body, n)
	c.header = http.Header{
		"X-Model": {"m"}, "X-Token-Counts": {fmt.Sprintf("1000,%d", d.output)}, "X-Prompt-Prefix": {fmt.Sprintf(d.prompt, part, 1<<20+n)},
	}
	return c
}

// TestDeadlyPartStopsCrashingEngines guards against one part of a prompt that ends engine
// after engine, and against a quarantine of the parts that sound requests share with it: the
// requests with it differ in all else, and sound ones have their caller and their other parts.
func TestDeadlyPartStopsCrashingEngines(t *testing.T) {
	for name, traffic := range map[string]deadlyTraffic{
		"frequent":                {prompt: "5c1e:200,%[1]s:300,%[2]x:500", output: 100, soundEvery: 200 * time.Millisecond, deadlyEvery: 200 * time.Millisecond, burst: 1},
		"a common part behind it": {prompt: "5c1e:200,%[1]s:300,c3c3:100,%[2]x:400", output: 400, soundEvery: 4 * time.Second, deadlyEvery: 4500 * time.Millisecond, burst: 3, burstGap: 1100 * time.Millisecond},
		"alone":                   {prompt: "%[1]s:500,%[2]x:500", output: 100, soundEvery: 200 * time.Millisecond, deadlyEvery: 400 * time.Millisecond, burst: 1},
		"long answers":            {prompt: "5c1e:200,%[1]s:300,c3c3:100,%[2]x:400", output: 5000, soundEvery: 1500 * time.Millisecond, deadlyEvery: 2 * time.Second, burst: 1},
	} {
		t.Run(name, func(t *testing.T) { testDeadlyTraffic(t, traffic) })
	}
}

func testDeadlyTraffic(t *testing.T, traffic deadlyTraffic) {
	const (
		stableWindow = 3 * time.Second
		// warmUp ends between two sound requests.
		warmUp   = 20600 * time.Millisecond
		duration = 60 * time.Second
		// boundFrom is the number of crashes from which the bounds hold, or the last one.
		boundFrom = 5
		// allowedRuns is how many deadly requests may reach engines later than stableWindow
		// after the crash.
		allowedRuns = 3
	)
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		decodes := f.instanceIDs("llm", "decode")
		for _, id := range decodes {
			f.instances[id].SetFaults(emulator.InstanceFaults{DeadlyPart: deadlyPart})
		}
		type sent struct {
			at    time.Time
			began bool
		}
		var sound []*sent
		var senders sync.WaitGroup
		began := time.Now()
		number := 0
		send := func(part string, result *sent) {
			number++
			n := number
			senders.Go(func() {
				got := f.send(t.Context(), n%3, traffic.request(n, part))
				if runs, _, _ := f.findRuns(got.attempt); result != nil {
					result.began = runs > 0
				}
			})
		}
		senders.Go(func() {
			time.Sleep(warmUp)
			for time.Since(began) < duration {
				for range traffic.burst {
					send(deadlyPart, nil)
					time.Sleep(traffic.burstGap)
				}
				time.Sleep(traffic.deadlyEvery - time.Duration(traffic.burst)*traffic.burstGap)
			}
		})
		for time.Since(began) < duration {
			result := &sent{at: time.Now()}
			sound = append(sound, result)
			send(fmt.Sprintf("50%02x", len(sound)%4), result)
			time.Sleep(traffic.soundEvery)
		}
		senders.Wait()

		var crashes []time.Time
		for _, id := range decodes {
			for _, r := range f.instances[id].Runs() {
				if strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":") {
					crashes = append(crashes, r.BeganAt)
				}
			}
		}
		if len(crashes) == 0 {
			t.Fatal("no engine crashed")
		}
		slices.SortFunc(crashes, time.Time.Compare)
		from := crashes[min(len(crashes), boundFrom)-1]
		late := 0
		for _, at := range crashes[min(len(crashes), boundFrom):] {
			if at.After(from.Add(stableWindow)) {
				late++
			}
		}
		var before, after struct{ sent, began float64 }
		for _, r := range sound {
			count := &before
			if r.at.After(began.Add(warmUp)) {
				if r.at.Before(from.Add(2 * stableWindow)) {
					continue
				}
				count = &after
			}
			count.sent++
			if r.began {
				count.began++
			}
		}
		t.Logf("%d crashes, %d late; sound requests that began: %.0f of %.0f before, %.0f of %.0f after", len(crashes), late, before.began, before.sent, after.began, after.sent)
		if late > allowedRuns {
			t.Errorf("%d requests with the part reached engines later than %v after crash %d", late, stableWindow, boundFrom)
		}
		if after.sent == 0 || after.began/after.sent < 0.9*before.began/before.sent {
			t.Errorf("%.0f of %.0f sound requests began, %.0f of %.0f before the crashes", after.began, after.sent, before.began, before.sent)
		}
	})
}
