package accountant

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/accountant/accountantrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/limiter"
)

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("accountant")

// Malformed is the error type for an answer that does not fit its request.
var Malformed = Errors.NewType("malformed")

const (
	// maxAmount and maxRate bound the numbers of a query, against overflow.
	maxAmount = 1 << 53
	maxRate   = 1e15
	// maxRetryAfterMilliseconds bounds an answer's Retry-After.
	maxRetryAfterMilliseconds = int64(maxRefillTime / time.Millisecond)
)

// server serves the accounts that this node owns to the other nodes.
type server struct{ accountant *Accountant }

// Exchange handles the returns of a node and answers its queries.
func (s *server) Exchange(_ context.Context, request *accountantrpc.ExchangeRequest) (*accountantrpc.ExchangeResponse, error) {
	if len(request.GetQueries()) > maxQueued || len(request.GetReturns()) > maxQueued {
		return nil, twirp.NewError(twirp.InvalidArgument, "too many queries or returns")
	}
	a := s.accountant
	view, now := a.options.View(), time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.observe(now, view)
	node := identifier.Node(request.GetNode())
	mark := returnMark{incarnation: identifier.Incarnation(request.GetIncarnation()), sequence: request.GetSequence()}
	if len(request.GetReturns()) > 0 && request.GetReceiver() == uint64(view.Self.Incarnation) && a.ledger.isNewReturn(node, mark) {
		for _, message := range request.GetReturns() {
			amount := decodeAmount(message.GetAmount())
			a.ledger.giveBack(now, identifier.Account(message.GetAccount()), amount, slot(message.GetSlot()), message.GetDeputy())
		}
	}
	response := &accountantrpc.ExchangeResponse{}
	for _, message := range request.GetQueries() {
		q := decodeQuery(node, message)
		v := a.decide(now, view, &q)
		response.Answers = append(response.Answers, encodeAnswer(&v))
	}
	return response, nil
}

func encodeQuery(q *query) *accountantrpc.Query {
	return &accountantrpc.Query{
		Account: string(q.account),
		Amount:  int64(q.amount),
		Rate:    q.quota.Rate,
		Burst:   int64(q.quota.Burst),
		Tokens:  q.quota.Tokens,
		Deputy:  q.deputy,
		Spent:   int64(q.spent),
	}
}

func decodeQuery(node identifier.Node, message *accountantrpc.Query) query {
	rate := message.GetRate()
	if !(rate > 0) {
		// Not a number counts as none.
		rate = 0
	}
	return query{
		node:    node,
		account: identifier.Account(message.GetAccount()),
		quota: limiter.AccountQuota{
			Rate:   min(rate, maxRate),
			Burst:  decodeAmount(message.GetBurst()),
			Tokens: message.GetTokens(),
		},
		amount: decodeAmount(message.GetAmount()),
		deputy: message.GetDeputy(),
		spent:  decodeAmount(message.GetSpent()),
	}
}

func decodeAmount(value int64) limiter.Amount {
	return limiter.Amount(min(max(0, value), maxAmount))
}

func encodeAnswer(v *verdict) *accountantrpc.Answer {
	answer := &accountantrpc.Answer{Deputy: v.deputy, Slot: int64(v.at), RetryAfterMs: v.retryAfter.Milliseconds()}
	switch {
	case v.granted:
		answer.Verdict = accountantrpc.Verdict_GRANTED
	case !v.notOwner:
		answer.Verdict = accountantrpc.Verdict_REFUSED
	}
	return answer
}

func decodeAnswer(message *accountantrpc.Answer) verdict {
	return verdict{
		notOwner:   message.GetVerdict() != accountantrpc.Verdict_GRANTED && message.GetVerdict() != accountantrpc.Verdict_REFUSED,
		granted:    message.GetVerdict() == accountantrpc.Verdict_GRANTED,
		retryAfter: time.Duration(min(max(0, message.GetRetryAfterMs()), maxRetryAfterMilliseconds)) * time.Millisecond,
		deputy:     message.GetDeputy(),
		at:         slot(message.GetSlot()),
	}
}
