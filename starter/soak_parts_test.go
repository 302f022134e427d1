package starter_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

const (
	// soakDeadlyFrom is how long requests are sound before some have a deadly part, and
	// soakDeadlyTime how long they come in all.
	soakDeadlyFrom = 5 * time.Second
	soakDeadlyTime = 24 * time.Second
	// soakRestart is how long a crashed engine refuses connections.
	soakRestart = 2 * time.Second
	// soakBoundFrom is the number of crashes from which the bounds hold, or the last one, and
	// soakDeadlyAllowed how many deadly requests may reach engines after it.
	soakBoundFrom     = 5
	soakDeadlyAllowed = 3
	// soakMinJudged is the number of sound requests from which their share is judged.
	soakMinJudged = 20
)

// restartBackend ends a back end's process, whose connections are closed and new ones refused,
// and starts it again after a while.
func (s *soakRun) restartBackend(id string) {
	s.logFault("%s crashes", id)
	s.backendProxies[id].refuse()
	s.background.Go(func() {
		time.Sleep(soakRestart)
		s.fleet.instances[id].Restart()
		if err := s.backendProxies[id].accept(); err != nil {
			s.t.Error(err)
		}
	})
}

// partsSent is a request of the deadly traffic.
type partsSent struct {
	deadly      bool
	node        int
	began, sent time.Time
}

// startDeadlyTraffic sends, in background, requests of which some have a part that crashes
// decode engines, in prompts and at rates that the seed chooses.
func (s *soakRun) startDeadlyTraffic() {
	traffic := deadlyTraffic{
		prompt: []string{
			"5c1e:200,%[1]s:300,%[2]x:500", "5c1e:200,%[1]s:300,c3c3:100,%[2]x:400", "5c1e:200,c3c3:100,%[1]s:300,%[2]x:400", "%[1]s:500,%[2]x:500",
		}[s.random.IntN(4)],
		output:      50 << s.random.IntN(6),
		soundEvery:  100 * time.Millisecond << s.random.IntN(4),
		deadlyEvery: 250 * time.Millisecond << s.random.IntN(4),
	}
	s.logFault("requests with a deadly part: %+v", traffic)
	s.background.Go(func() { s.sendDeadlyTraffic(traffic) })
}

// sendDeadlyTraffic sends the requests and checks that the part is found.
func (s *soakRun) sendDeadlyTraffic(traffic deadlyTraffic) {
	engines := s.backends[2:4]
	for _, engine := range engines {
		engine.instance.SetFaults(emulator.InstanceFaults{DeadlyPart: deadlyPart})
	}
	var mutex sync.Mutex
	sent := map[string]partsSent{}
	var senders sync.WaitGroup
	send := func(number int, part string) {
		n := number % len(s.processes)
		senders.Go(func() {
			caller := &soakCaller{run: s, node: n}
			defer caller.disconnect()
			r := soakRequest{request: traffic.request(number, part), routeTimeout: soakLongTimeout, atMostOnce: true, events: traffic.output / soakEventTokens}
			r.path, r.deadline = fmt.Sprint("/long/", number), soakLongTimeout
			o := caller.send(r)
			s.check(o)
			mutex.Lock()
			defer mutex.Unlock()
			sent[o.attempt] = partsSent{deadly: part == deadlyPart, node: n, began: o.began, sent: o.sent}
		})
	}
	began := time.Now()
	nextDeadly := soakDeadlyFrom
	for number := 0; time.Since(began) < soakDeadlyTime; number++ {
		send(2*number, fmt.Sprintf("50%02x", number%4))
		if time.Since(began) >= nextDeadly {
			send(2*number+1, deadlyPart)
			nextDeadly += traffic.deadlyEvery
		}
		time.Sleep(min(traffic.soundEvery, traffic.deadlyEvery))
	}
	senders.Wait()
	s.checkDeadlyTraffic(engines, sent)
}

// checkDeadlyTraffic fails the seed's test if undisturbed nodes went on sending deadly requests
// to engines, or refused sound ones.
func (s *soakRun) checkDeadlyTraffic(engines []*soakBackend, sent map[string]partsSent) {
	var crashes []time.Time
	for _, engine := range engines {
		for _, r := range engine.instance.Runs() {
			if strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":") {
				crashes = append(crashes, r.BeganAt)
			}
		}
	}
	if len(crashes) == 0 {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	from := crashes[min(len(crashes), soakBoundFrom)-1]
	first, late := crashes[0], 0
	var before, after struct{ sent, began int }
	for attempt, r := range sent {
		if r.sent.IsZero() || s.isDisturbed(r.node, r.began.Add(-soakStableWindow), r.sent) {
			continue
		}
		runs, _, _ := s.fleet.findRuns(attempt)
		switch {
		case r.deadly && len(crashes) >= soakBoundFrom && r.sent.After(from.Add(soakStableWindow)):
			late += runs
		case r.deadly:
		case r.sent.Before(first):
			before.sent++
			before.began += min(runs, 1)
		case r.sent.After(from.Add(2 * soakStableWindow)):
			after.sent++
			after.began += min(runs, 1)
		}
	}
	s.logFault("%d crashes, %d deadly requests late; sound requests that began: %d of %d before, %d of %d after", len(crashes), late, before.began, before.sent, after.began, after.sent)
	if late > soakDeadlyAllowed {
		s.t.Errorf("seed %d: %d deadly requests reached engines late", s.seed, late)
	}
	if before.sent >= soakMinJudged && after.sent >= soakMinJudged && 2*after.began*before.sent < before.began*after.sent {
		s.t.Errorf("seed %d: %d of %d sound requests began, %d of %d before the crashes", s.seed, after.began, after.sent, before.began, before.sent)
	}
}
