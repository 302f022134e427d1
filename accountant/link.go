package accountant

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailspool/foxtailspool/accountant/accountantrpc"
	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// queryTimeout bounds the wait for one candidate's answer. Usual answers take a few
	// milliseconds, and a request waits at most for two candidates.
	queryTimeout = 80 * time.Millisecond
	// failureDelay is how long a member is not queried after a failure.
	failureDelay = 500 * time.Millisecond
	// returnDelay is how long a return waits for others.
	returnDelay = 50 * time.Millisecond
	// maxQueued bounds the queries and the returns that wait for an exchange, and thus the size
	// of a message.
	maxQueued = 2000
)

// link exchanges messages with one other process, one at a time: what arrives during an
// exchange shares the next one.
type link struct {
	accountant *Accountant
	member     assigner.Member
	peer       accountantrpc.Accountant
	// wake, of capacity 1, triggers an exchange.
	wake chan struct{}
	// stop ends the link's goroutine, which then closes ended.
	stop  context.CancelFunc
	ended chan struct{}

	// mutex guards the fields below.
	mutex   sync.Mutex
	waiting []*waitingQuery
	returns []*accountantrpc.Return
	// failedUntil is until when the member is not queried.
	failedUntil time.Time
	// failing is set from a failure to the next success.
	failing bool
}

// waitingQuery is a query without an answer.
type waitingQuery struct {
	message *accountantrpc.Query
	// settled is set by the first of the answer and the end of the wait.
	settled atomic.Bool
	// answer is buffered and receives at most one answer; it is closed on a failure.
	answer chan verdict
}

func newLink(a *Accountant, member assigner.Member) *link {
	client := &http.Client{Transport: a.options.PeerTransport}
	return &link{
		accountant: a,
		member:     member,
		peer:       accountantrpc.NewAccountantProtobufClient("http://"+string(member.PeerAddress), client),
		wake:       make(chan struct{}, 1),
		ended:      make(chan struct{}),
	}
}

// start starts the link's goroutine, which runs until stop is called or ctx ends.
func (l *link) start(ctx context.Context) {
	ctx, l.stop = context.WithCancel(ctx)
	go func() {
		defer close(l.ended)
		l.run(ctx)
	}()
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-l.wake:
			l.exchange(ctx)
		}
	}
	// The last returns are of requests that ended while the node stopped.
	l.exchange(context.WithoutCancel(ctx))
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// query sends a query and waits for the answer. answered is false if there is none in time, or
// if the member failed a moment ago.
func (l *link) query(ctx context.Context, q *query) (v verdict, answered bool) {
	w := &waitingQuery{message: encodeQuery(q), answer: make(chan verdict, 1)}
	l.mutex.Lock()
	if time.Now().Before(l.failedUntil) || len(l.waiting) >= maxQueued {
		l.mutex.Unlock()
		return verdict{}, false
	}
	l.waiting = append(l.waiting, w)
	l.mutex.Unlock()
	l.signal()
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case v, answered = <-w.answer:
		return v, answered
	case <-timer.C:
	case <-ctx.Done():
	}
	if w.settled.Swap(true) {
		v, answered = <-w.answer
	}
	return v, answered
}

// giveBack queues a return.
func (l *link) giveBack(message *accountantrpc.Return) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.returns) >= maxQueued {
		return
	}
	l.returns = append(l.returns, message)
	if len(l.returns) == 1 {
		time.AfterFunc(returnDelay, l.signal)
	}
}

// exchange sends what is queued. A failed message is not repeated: the receiver may have
// handled it, and nothing may be returned twice.
func (l *link) exchange(ctx context.Context) {
	request, waiting := l.nextRequest()
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	l.accountant.metrics.exchanges.Inc(1)
	response, err := l.peer.Exchange(ctx, request)
	if err == nil && len(response.GetAnswers()) != len(waiting) {
		err = Malformed.New("%d answers to %d queries", len(response.GetAnswers()), len(waiting))
	}
	if err != nil {
		l.fail(waiting, err)
		return
	}
	l.succeed()
	for i, w := range waiting {
		v := decodeAnswer(response.GetAnswers()[i])
		if !w.settled.Swap(true) {
			w.answer <- v
		} else if v.granted {
			// The query has timed out meanwhile.
			l.giveBack(&accountantrpc.Return{Account: w.message.GetAccount(), Amount: w.message.GetAmount(), Slot: int64(v.at), Deputy: v.deputy})
		}
	}
}

// nextRequest returns the next message and its queries, or nil if there is nothing to send.
func (l *link) nextRequest() (*accountantrpc.ExchangeRequest, []*waitingQuery) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var waiting []*waitingQuery
	for _, w := range l.waiting {
		if !w.settled.Load() {
			waiting = append(waiting, w)
		}
	}
	returns := l.returns
	l.waiting, l.returns = nil, nil
	if len(waiting)+len(returns) == 0 {
		return nil, nil
	}
	self := l.accountant.options.View().Self
	request := &accountantrpc.ExchangeRequest{
		Node:        string(self.Node),
		Incarnation: uint64(self.Incarnation),
		Sequence:    l.accountant.sequence.Add(1),
		Receiver:    uint64(l.member.Incarnation),
		Returns:     returns,
		Queries:     make([]*accountantrpc.Query, 0, len(waiting)),
	}
	for _, w := range waiting {
		request.Queries = append(request.Queries, w.message)
	}
	return request, waiting
}

// fail ends the wait of all queries and pauses the link.
func (l *link) fail(waiting []*waitingQuery, err error) {
	l.accountant.metrics.failures.Inc(1)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failedUntil = time.Now().Add(failureDelay)
	if !l.failing {
		l.failing = true
		l.accountant.options.Log.Log(eventUnreachable, logger.Fields{"member": l.member.Node, "error": err.Error()})
	}
	for _, w := range append(waiting, l.waiting...) {
		if !w.settled.Swap(true) {
			close(w.answer)
		}
	}
	l.waiting = nil
}

func (l *link) succeed() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failing {
		l.failing = false
		l.accountant.options.Log.Log(eventReachable, logger.Fields{"member": l.member.Node})
	}
}
