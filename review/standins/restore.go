package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func (s *store) copyObjects() (map[string]map[string]*object, int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := map[string]map[string]*object{}
	for kind, all := range s.objects {
		copied[kind] = map[string]*object{}
		for name, o := range all {
			c := *o
			copied[kind][name] = &c
		}
	}
	return copied, s.revision
}

func init() {
	cases["restore"] = func(f *fleet, trouble bool) (bool, string) {
		for range 3 {
			f.addEngine("wuno96b", "")
		}
		f.configure()
		for range 24 {
			f.addNode()
		}
		f.awaitReady(25 * time.Second)
		time.Sleep(2 * time.Second)
		var away atomic.Bool
		f.store.fault = func(w http.ResponseWriter, r *http.Request) bool {
			if away.Load() {
				time.Sleep(2 * time.Second)
				panic(http.ErrAbortHandler)
			}
			return false
		}
		change := func(i int) func(map[string]any) {
			return func(spec map[string]any) {
				routes := spec["routes"].([]map[string]any)
				for k := 0; k <= i; k++ {
					routes = append(routes, map[string]any{"name": fmt.Sprint("r-new", k), "host": host, "pathPrefix": fmt.Sprintf("/new%d/", k), "routeKind": "safe", "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 2})
				}
				spec["routes"] = routes
			}
		}
		var worst time.Duration
		late := 0
		for round := range 4 {
			copied, revision := f.store.copyObjects()
			f.configure(change(2 * round))
			time.Sleep(4 * time.Second)
			latest, _ := f.store.copyObjects()
			away.Store(true)
			time.Sleep(time.Second)
			f.store.mutex.Lock()
			f.store.objects, f.store.revision, f.store.events = copied, revision, nil
			f.store.era++
			f.store.mutex.Unlock()
			away.Store(false)
			f.record.say("the store is back from a copy, era %d", f.store.era)
			time.Sleep(500 * time.Millisecond)
			for kind, all := range latest {
				if kind == "config" || kind == "servers" {
					for name, o := range all {
						f.store.put(kind, name, json.RawMessage(o.Spec))
					}
				}
			}
			f.record.say("the operator and the engines have written again")
			time.Sleep(3200 * time.Millisecond)
			f.configure(change(2*round + 1))
			acked := time.Now()
			var all sync.WaitGroup
			var mutex sync.Mutex
			var times []time.Duration
			for _, n := range f.nodes {
				all.Add(1)
				go func() {
					defer all.Done()
					for {
						sent := time.Since(acked)
						r := n.send(call{method: "GET", path: fmt.Sprintf("/new%d/a", 2*round+1), deadlineMs: 1000})
						if r.status == 200 {
							mutex.Lock()
							times = append(times, sent)
							if sent > 2*time.Second+100*time.Millisecond {
								late++
							}
							mutex.Unlock()
							return
						}
						time.Sleep(50 * time.Millisecond)
						if sent > 15*time.Second {
							return
						}
					}
				}()
			}
			all.Wait()
			sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
			f.record.say("in force on %d nodes, the last after %v", len(times), times[len(times)-1])
			worst = max(worst, times[len(times)-1])
		}
		return late > 0 || worst == 0, fmt.Sprintf("worst %v, late %d", worst, late)
	}
}
