package standins

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// idleRate is how many new users come each second to the whole system.
	idleRate = 50
	// idleTraffic is how long they come.
	idleTraffic = 75 * time.Second
	// idleLossAt is when one of the two machines is removed for good.
	idleLossAt = 5 * time.Second
	// stableWindow is the bound stableWindowMs of the settings.
	stableWindow = 3 * time.Second
	// minClients is from how many clients on the rule applies.
	minClients = 7
)

// try is one user's new connection with one request.
type try struct {
	node     *node
	at       time.Duration
	answered bool
}

func init() {
	cases["idle"] = idleCase
}

// idleCase lets users open a connection, send one request and stay idle, while one machine of
// two is removed. A machine that is ready must go on to take new connections.
func idleCase(f *fleet, trouble bool) (bool, string) {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur < 5000 {
		fail(2, "5000 file descriptors are needed, the limit is %d", limit.Cur)
	}
	for range 3 {
		f.addEngine("wuno96b", "")
	}
	f.configure()
	for range 2 {
		f.addNode()
	}
	f.awaitReady(15 * time.Second)
	time.Sleep(stableWindow)

	began := time.Now()
	if trouble {
		time.AfterFunc(idleLossAt, func() { f.nodes[1].signal(syscall.SIGKILL) })
	}
	// ready holds when the first machine's readiness check was answered with 200.
	ready, notReady := []time.Duration{}, []time.Duration{}
	// served holds when a request on a connection kept since the start was answered.
	served := []time.Duration{}
	var mutex sync.Mutex
	go func() {
		kept, err := net.Dial("tcp", f.nodes[0].ip+":8144")
		for ; time.Since(began) < idleTraffic; time.Sleep(time.Second) {
			at := time.Since(began)
			ok := f.nodes[0].ready()
			var r reply
			if err == nil {
				_ = kept.SetDeadline(time.Now().Add(time.Second))
				r = f.nodes[0].exchange(kept, newAttempt(), lookup())
			}
			mutex.Lock()
			if ok {
				ready = append(ready, at)
			} else {
				notReady = append(notReady, at)
			}
			if r.status == http.StatusOK {
				served = append(served, at)
			}
			mutex.Unlock()
			f.record.say("ready check %v, kept connection status %d", ok, r.status)
		}
	}()

	addresses := []*node{f.nodes[0], f.nodes[1]}
	resolved := time.Time{}
	var tries []*try
	var users sync.WaitGroup
	var open []net.Conn
	for ticker := time.NewTicker(time.Second / idleRate); time.Since(began) < idleTraffic; <-ticker.C {
		if time.Since(resolved) > time.Second {
			resolved = time.Now()
			if found := f.resolve(addresses); len(found) > 0 {
				addresses = found
			}
		}
		t := &try{node: addresses[rand.Intn(len(addresses))], at: time.Since(began)}
		tries = append(tries, t)
		users.Add(1)
		go func() {
			defer users.Done()
			connection, r := f.user(t.node)
			mutex.Lock()
			defer mutex.Unlock()
			t.answered = r.status != 0
			f.record.say("%s at %s: status %d, ran %d times, %v", r.attempt, t.node.name, r.status, f.ran(r.attempt), r.err)
			if connection != nil {
				// The user stays idle on its connection until the server closes it.
				open = append(open, connection)
			}
		}()
	}
	users.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	broken, seen := judgeIdle(f, tries, ready, notReady, served)
	for _, connection := range open {
		_ = connection.Close()
	}
	return broken, seen
}

func lookup() call { return call{method: "GET", path: "/puxa403/2f", deadlineMs: 1000} }

// user opens a connection from an address of its own and sends one request: a booking, or a
// look-up in three of ten cases. It keeps the connection if it was answered.
func (f *fleet) user(n *node) (net.Conn, reply) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", f.prefix, 200+rand.Intn(50)))}}
	connection, err := dialer.Dial("tcp", n.ip+":8144")
	if err != nil {
		return nil, reply{attempt: newAttempt(), err: err}
	}
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	request := call{method: "POST", path: "/pule252/a", body: make([]byte, 600), deadlineMs: 1000}
	if rand.Intn(10) < 3 {
		request = lookup()
	}
	r := n.exchange(connection, newAttempt(), request)
	if r.status == 0 {
		_ = connection.Close()
		return nil, r
	}
	return connection, r
}

// resolve asks a machine of the last answer for addresses, as clients do each ttlS.
func (f *fleet) resolve(known []*node) []*node {
	client := http.Client{Timeout: time.Second}
	for _, n := range known {
		response, err := client.Get("http://" + n.ip + ":8143/v1/resolve?name=" + host + "&region=bg-south&zone=plovdiv")
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		var found []*node
		for _, address := range answer.Addresses {
			for _, candidate := range f.nodes {
				if address == candidate.ip+":8144" {
					found = append(found, candidate)
				}
			}
		}
		if err == nil && len(found) > 0 {
			return found
		}
	}
	return nil
}

// judgeIdle looks for a span of stableWindow or more in which the first machine, ready at each
// check, answered no new connection although minClients clients or more tried. The machine has
// been without disruption since its start, more than stableWindow before the traffic.
func judgeIdle(f *fleet, tries []*try, ready, notReady, served []time.Duration) (bool, string) {
	var worst, from, first, last time.Duration
	worstCount, count := 0, 0
	for _, t := range tries {
		if t.node != f.nodes[0] {
			continue
		}
		if t.answered {
			count = 0
			continue
		}
		if count == 0 {
			first = t.at
		}
		count++
		last = t.at
		if last-first > worst {
			worst, from, worstCount = last-first, first, count
		}
	}
	count = 0
	within := func(times []time.Duration) (found int) {
		for _, at := range times {
			if at >= from && at <= from+worst {
				found++
			}
		}
		return found
	}
	seen := fmt.Sprintf("longest span without a new connection at %s: %.1f s from %.1f s on, %d clients tried; in it %d ready checks were answered 200 and %d not, and %d requests on a kept connection were served",
		f.nodes[0].name, worst.Seconds(), from.Seconds(), worstCount, within(ready), within(notReady), within(served))
	return worst >= stableWindow && worstCount >= minClients && within(ready) >= 3 && within(notReady) == 0, seen
}
