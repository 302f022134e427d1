package starter_test

import (
	"fmt"
	"sync"
	"time"
)

const (
	// soakDeadlyFrom is how long requests are sound before some have a deadly part, and
	// soakDeadlyTime how long they come in all.
	soakDeadlyFrom = 5 * time.Second
	soakDeadlyTime = 24 * time.Second
	// soakRestart is how long a crashed engine refuses connections.
	soakRestart = 2 * time.Second
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
		burst:       1,
	}
	s.logFault("requests with a deadly part: %+v", traffic)
	s.background.Go(func() { s.sendDeadlyTraffic(traffic) })
}

// sendDeadlyTraffic sends the requests and fails the seed's test if undisturbed nodes go on
// sending deadly ones to engines, or send sound ones less than half as often as before.
func (s *soakRun) sendDeadlyTraffic(traffic deadlyTraffic) {
	var mutex sync.Mutex
	var sent []deadlyOutcome
	// Engines change their stage, so that each one may answer.
	var engines []string
	for _, backend := range s.backends {
		if backend.service == "llm" {
			engines = append(engines, backend.id)
		}
	}
	traffic.play(soakDeadlyFrom, soakDeadlyTime, func(number int, part string) {
		caller := &soakCaller{run: s, node: number % len(s.processes)}
		defer caller.disconnect()
		r := soakRequest{request: traffic.request(number, part), routeTimeout: soakLongTimeout, atMostOnce: true, events: traffic.output / soakEventTokens}
		r.path, r.deadline = fmt.Sprint("/long/", number), soakLongTimeout
		o := caller.send(r)
		s.check(o)
		if o.sent.IsZero() || s.isDisturbed(o.node, o.began.Add(-soakStableWindow), o.sent) {
			return
		}
		runs, _, _ := s.fleet.findRuns(o.attempt)
		mutex.Lock()
		defer mutex.Unlock()
		sent = append(sent, deadlyOutcome{isDeadly: part == deadlyPart, sent: o.sent, runs: runs})
	}, s.fleet.instances, engines)
	found := judgeDeadly(s.fleet.instances, engines, sent)
	s.logFault("deadly traffic: %+v", found)
	if found.late > allowedDeadly {
		s.t.Errorf("seed %d: deadly requests go on reaching engines: %+v", s.seed, found)
	}
	if before, after := found.before, found.after; min(before.sent, after.sent) >= soakMinJudged && 2*after.began*before.sent < before.began*after.sent {
		s.t.Errorf("seed %d: sound requests are refused: %+v", s.seed, found)
	}
}
