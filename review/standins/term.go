package main

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["term"] = func(f *fleet, trouble bool) (bool, string) {
		for range 3 {
			f.addEngine("wuno96b", "")
		}
		f.configure()
		for range 3 {
			f.addNode()
		}
		f.awaitReady(15 * time.Second)
		time.Sleep(stableWindow)
		var mutex sync.Mutex
		var all sync.WaitGroup
		lost, early, total, refusedConn := 0, 0, 0, 0
		worst := time.Duration(0)
		for round := range 6 {
			n := f.nodes[round%3]
			n.signal(syscall.SIGTERM)
			began := time.Now()
			for time.Since(began) < 8500*time.Millisecond && n.running() {
				at := time.Since(began)
				pause := 5 * time.Millisecond
				if at > 3500*time.Millisecond && at < 4600*time.Millisecond {
					pause = time.Millisecond
				}
				time.Sleep(pause)
				all.Add(1)
				go func() {
					defer all.Done()
					c, err := net.DialTimeout("tcp", n.ip+":8144", time.Second)
					if err != nil {
						mutex.Lock()
						refusedConn++
						mutex.Unlock()
						return
					}
					defer c.Close()
					if rand.Intn(3) == 0 {
						time.Sleep(time.Duration(rand.Intn(400)) * time.Millisecond)
					}
					_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
					sent := time.Now()
					r := n.exchange(c, newAttempt(), call{method: "POST", path: "/pule252/a", body: make([]byte, 600), deadlineMs: 1000})
					took := time.Since(sent)
					mutex.Lock()
					defer mutex.Unlock()
					total++
					if r.status != 0 {
						return
					}
					ran := f.ran(r.attempt)
					worst = max(worst, took)
					f.record.say("%s sent %v after SIGTERM: no answer after %v, ran %d, %v", r.attempt, sent.Sub(began), took, ran, r.err)
					if ran > 0 || took > 200*time.Millisecond {
						lost++
					} else {
						early++
					}
				}()
			}
			<-n.exited
			n.start()
			f.awaitReady(15 * time.Second)
			time.Sleep(time.Second)
		}
		all.Wait()
		return lost > 0, fmt.Sprintf("%d requests, %d connections refused, without an answer: %d within 200 ms and not run, %d run or later, latest %v", total, refusedConn, early, lost, worst)
	}
}
