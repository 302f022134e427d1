package starter_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// soakKey is the key of the account soakAccount, which all configurations have.
	soakKey     = "soak-key"
	soakAccount = "soak"
	// hotKey is the key of an account that sends all it can. Its quota is hotRate tokens a second
	// and as many at once.
	hotKey     = "hot-key"
	hotAccount = "hot"
	hotRate    = 3000
	hotTokens  = 1500
	// soakQuotaWindow, soakQuotaOver and soakQuotaSlack are the tolerance in the settings.
	soakQuotaWindow = 8 * time.Second
	soakQuotaOver   = 0.1
	soakQuotaSlack  = 10_000
)

// versionKey is a further key of soakAccount, which only one configuration has.
func versionKey(version int) string { return fmt.Sprint("soak-key-", version) }

// soakAccounts returns the accounts of a configuration.
func soakAccounts(version int) []map[string]any {
	return []map[string]any{
		{"name": soakAccount, "apiKeys": []string{soakKey, versionKey(version)}},
		{"name": hotAccount, "apiKeys": []string{hotKey}, "unit": "token_stream", "plainTokens": 50, "ratePerS": hotRate, "burst": hotRate},
	}
}

// startAccountFault takes a key away, kills or pauses a node, which may own a quota, or lets the
// store turn a node away.
func (s *soakRun) startAccountFault() (end func()) {
	n := s.random.IntN(len(s.processes))
	switch s.random.IntN(5) {
	case 0, 1:
		s.changeConfiguration()
		return func() {}
	case 2:
		s.kill(n)
		return func() {}
	case 3:
		return s.pause(n)
	default:
		endDisturbance := s.disturb(nodeKey(n))
		s.logFault("the store turns node %d away", n)
		s.storeProxies[n].setFault(proxyFault{blockToClient: true})
		return func() { s.storeProxies[n].setFault(proxyFault{}); endDisturbance() }
	}
}

// hotRequest is a request of hotAccount.
type hotRequest struct {
	attempt string
	sent    time.Time
}

// sendHot sends requests of hotAccount through all nodes until ctx ends, and then checks its
// quota.
func (s *soakRun) sendHot(ctx context.Context) {
	var mutex sync.Mutex
	var requests []hotRequest
	var group sync.WaitGroup
	for n := range s.processes {
		group.Go(func() {
			caller := &soakCaller{run: s, node: n}
			defer caller.disconnect()
			for ctx.Err() == nil {
				c := quote()
				c.header.Set("Api-Key", hotKey)
				o := caller.send(soakRequest{request: c, routeTimeout: 3 * time.Second, atMostOnce: true, events: 10, account: hotAccount})
				s.check(o)
				mutex.Lock()
				requests = append(requests, hotRequest{o.attempt, o.began})
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	s.checkQuota(requests)
}

// checkQuota fails the seed's test if more of hotAccount's tokens were sent and run in some window
// than its quota and the tolerance allow.
func (s *soakRun) checkQuota(requests []hotRequest) {
	type run struct{ sent, began time.Time }
	var runs []run
	for _, r := range requests {
		if _, _, found := s.fleet.findRuns(r.attempt); len(found) > 0 {
			runs = append(runs, run{r.sent, found[0].BeganAt})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	allowed := int((hotRate*soakQuotaWindow.Seconds()+hotRate)*(1+soakQuotaOver)) + soakQuotaSlack
	for i := range runs {
		sum := 0
		for _, later := range runs[i:] {
			if later.began.Before(runs[i].sent.Add(soakQuotaWindow)) {
				sum += hotTokens
			}
		}
		if sum > allowed {
			s.t.Errorf("seed %d: account %s ran %d tokens in the window from %s, allowed %d", s.seed, hotAccount, sum, formatTime(runs[i].sent), allowed)
			return
		}
	}
	if len(runs) == 0 {
		s.t.Errorf("seed %d: no request of account %s ran", s.seed, hotAccount)
	}
}

// newWithdrawnRequest returns a request with a key that the newest configuration has taken away,
// or false if there is none.
func (s *soakRun) newWithdrawnRequest() (soakRequest, bool) {
	s.operator.mutex.Lock()
	acks := s.operator.acks
	s.operator.mutex.Unlock()
	if len(acks) < 2 {
		return soakRequest{}, false
	}
	version := acks[len(acks)-2].version
	c := lookUp()
	c.header = http.Header{"Api-Key": {versionKey(version)}}
	return soakRequest{request: c, routeTimeout: 3 * time.Second, withdrawnVersion: version}, true
}

// checkAccount fails the seed's test if a request ran for another account than its own, with the
// key passed on, or with a key that had been taken away.
func (s *soakRun) checkAccount(o soakOutcome) {
	_, _, runs := s.fleet.findRuns(o.attempt)
	for _, r := range runs {
		if got := r.Header.Values("X-Tenant"); len(got) != 1 || got[0] != cmp.Or(o.account, soakAccount) || len(r.Header.Values("Api-Key")) > 0 {
			s.errorf(o, "it ran for the account %q, with a key: %v", got, len(r.Header.Values("Api-Key")) > 0)
		}
	}
	isBound := !o.sent.IsZero() && !s.isDisturbed(o.node, o.sent.Add(-soakStableWindow), o.ended)
	if o.withdrawnVersion > 0 && isBound && len(runs) > 0 && s.operator.dueVersion(o.sent) > o.withdrawnVersion {
		s.errorf(o, "it ran with a key that configuration %d has taken away", s.operator.dueVersion(o.sent))
	}
}
