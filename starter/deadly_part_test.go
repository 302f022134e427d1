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
	shared := func(parts int) (prompt string) {
		for n := range parts {
			prompt += fmt.Sprintf("5c1e%04x:20,", n)
		}
		return prompt
	}
	for name, traffic := range map[string]deadlyTraffic{
		"behind 8 parts":          {prompt: shared(8) + "%[1]s:300,%[2]x:500", output: 100, soundEvery: 400 * time.Millisecond, deadlyEvery: 500 * time.Millisecond, burst: 1},
		"behind 62 parts":         {prompt: shared(62) + "%[1]s:300,%[2]x:500", output: 100, soundEvery: 400 * time.Millisecond, deadlyEvery: 500 * time.Millisecond, burst: 1},
		"ids of 128 bits":         {prompt: "5c1e07a2f3b84d6690aa17c2e45b8d01:200,5c1e07a2f3b84d6690aa17c2%[1]s:300,5c1e07a2f3b84d6690aa17c2%[2]x:500", output: 100, soundEvery: 400 * time.Millisecond, deadlyEvery: 500 * time.Millisecond, burst: 1},
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
		// warmUp ends between two sound requests.
		warmUp   = 20600 * time.Millisecond
		duration = 60 * time.Second
	)
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		// Engines change their stage, so that each one may answer.
		engines := append(f.instanceIDs("llm", "decode"), f.instanceIDs("llm", "prefill")...)
		var mutex sync.Mutex
		var sent []deadlyOutcome
		traffic.play(warmUp, duration, func(n int, part string) {
			o := deadlyOutcome{isDeadly: part == deadlyPart, sent: time.Now()}
			got := f.send(t.Context(), n%3, traffic.request(n, part))
			o.runs, _, _ = f.findRuns(got.attempt)
			mutex.Lock()
			defer mutex.Unlock()
			sent = append(sent, o)
		}, f.instances, engines)
		found := judgeDeadly(f.instances, engines, sent)
		t.Log(found)
		if found.crashes == 0 || found.after.sent == 0 {
			t.Error("nothing to judge")
		}
		if found.late > allowedDeadly {
			t.Error("deadly requests go on reaching engines")
		}
		if 10*found.after.began*found.before.sent < 9*found.before.began*found.after.sent {
			t.Error("sound requests begin less often than before the crashes")
		}
	})
}

// play sends sound requests for a time, and deadly ones after warmUp. Each call of send has a
// goroutine of its own; play returns when all have returned.
func (d deadlyTraffic) play(warmUp, duration time.Duration, send func(n int, part string), instances map[string]*emulator.Instance, engines []string) {
	for _, id := range engines {
		instances[id].SetFaults(emulator.InstanceFaults{DeadlyPart: deadlyPart})
	}
	var senders sync.WaitGroup
	nextSound, nextDeadly, inBurst := time.Duration(0), warmUp, 0
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		time.Sleep(min(nextSound, nextDeadly) - time.Since(began))
		if nextSound <= nextDeadly {
			nextSound += d.soundEvery
			senders.Go(func() { send(n, fmt.Sprintf("50%02x", n%4)) })
			continue
		}
		senders.Go(func() { send(n, deadlyPart) })
		nextDeadly += d.burstGap
		if inBurst++; inBurst == d.burst {
			nextDeadly += d.deadlyEvery - time.Duration(d.burst)*d.burstGap
			inBurst = 0
		}
	}
	senders.Wait()
}

// The users' bounds on a part that crashes engines.
const (
	deadlyWindow = 3 * time.Second
	// deadlyBoundFrom is the number of crashes from which the bounds hold, or the last one.
	deadlyBoundFrom = 5
	// allowedDeadly is how many deadly requests may reach engines later than deadlyWindow
	// after that crash.
	allowedDeadly = 3
)

// deadlyOutcome is what became of a request of deadlyTraffic.
type deadlyOutcome struct {
	isDeadly bool
	sent     time.Time
	// runs is on how many engines it ran.
	runs int
}

// deadlyFindings is how often sound requests began before the first crash, and from twice
// deadlyWindow after the one from which the bounds hold.
type deadlyFindings struct {
	crashes, late int
	before, after struct{ sent, began int }
}

func judgeDeadly(instances map[string]*emulator.Instance, engines []string, sent []deadlyOutcome) deadlyFindings {
	var crashes []time.Time
	for _, id := range engines {
		for _, r := range instances[id].Runs() {
			if strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":") {
				crashes = append(crashes, r.BeganAt)
			}
		}
	}
	found := deadlyFindings{crashes: len(crashes)}
	if len(crashes) == 0 {
		return found
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[min(len(crashes), deadlyBoundFrom)-1]
	for _, r := range sent {
		count := &found.before
		switch {
		case r.isDeadly:
			if len(crashes) >= deadlyBoundFrom && r.sent.After(from.Add(deadlyWindow)) {
				found.late += r.runs
			}
			continue
		case r.sent.After(from.Add(2 * deadlyWindow)):
			count = &found.after
		case !r.sent.Before(crashes[0]):
			continue
		}
		count.sent++
		count.began += min(r.runs, 1)
	}
	return found
}
