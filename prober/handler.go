package prober

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober/proberrpc"
)

// Handler returns the path prefix and the handler of the calls from other nodes.
func (p *Prober) Handler() (string, http.Handler) {
	server := proberrpc.NewProberServer(&server{p})
	return server.PathPrefix(), server
}

type server struct {
	prober *Prober
}

// Exchange merges a message and returns the answer. It fails if the sender is missing.
func (s *server) Exchange(_ context.Context, wire *proberrpc.Message) (*proberrpc.Message, error) {
	if wire.GetSender().GetNode() == "" {
		return nil, twirp.RequiredArgumentError("sender")
	}
	var answer message
	s.prober.runInput(func(m *stateMachine, now time.Time) { answer = m.receive(now, fromWire(wire)) })
	return toWire(answer), nil
}

// Probe probes another node on behalf of the caller, over this node's pooled connection.
func (s *server) Probe(ctx context.Context, wire *proberrpc.ProbeRequest) (*proberrpc.ProbeResponse, error) {
	p := s.prober
	target := identifier.Node(wire.GetNode())
	var request message
	p.runInput(func(m *stateMachine, now time.Time) { request = m.composeHelperProbe(now, target) })
	result := p.exchange(ctx, p.options.Transport, identifier.Address(wire.GetPeers()), request)
	answered := false
	if result.answer != nil {
		p.runInput(func(m *stateMachine, now time.Time) { answered = m.receiveHelperAnswer(now, target, *result.answer) })
	}
	return &proberrpc.ProbeResponse{Answered: answered, Refused: result.refused}, nil
}

// execute performs an action and reports its result, unless ctx has ended. It always
// sends on ended when it returns.
func (p *Prober) execute(ctx context.Context, a action, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	transport, done := p.transport(a.method)
	defer done()
	var result exchangeResult
	var fromHelper helperResult
	if a.method == viaHelper {
		fromHelper = p.askHelper(ctx, transport, a)
	} else {
		result = p.exchange(ctx, transport, a.address, a.message)
	}
	if ctx.Err() != nil {
		// This node is shutting down, so the peer is not the cause of the failure.
		return
	}
	p.reportResult(a, result, fromHelper)
}

// exchange sends a message and waits for the answer, at most Timeout.
func (p *Prober) exchange(
	ctx context.Context, transport http.RoundTripper, to identifier.Address, request message,
) exchangeResult {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	wire, err := newClient(transport, to).Exchange(ctx, toWire(request))
	if err != nil || wire.GetSender().GetNode() == "" {
		return exchangeResult{refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	answer := fromWire(wire)
	return exchangeResult{answer: &answer}
}

// askHelper asks another node to probe the target. It waits twice Timeout, because the
// helper's own probe may take Timeout.
func (p *Prober) askHelper(ctx context.Context, transport http.RoundTripper, a action) helperResult {
	ctx, cancel := context.WithTimeout(ctx, 2*p.options.Timeout)
	defer cancel()
	answer, err := newClient(transport, a.address).Probe(ctx, &proberrpc.ProbeRequest{
		Node: string(a.target.member.Node), Peers: string(a.target.member.PeerAddress),
	})
	if err != nil {
		return helperResult{}
	}
	return helperResult{answered: answer.GetAnswered(), refused: answer.GetRefused()}
}

func newClient(transport http.RoundTripper, to identifier.Address) proberrpc.Prober {
	return proberrpc.NewProberProtobufClient("http://"+string(to), &http.Client{Transport: transport})
}

// leavingAcknowledged reports whether this node is dead, or is leaving and every
// neighbour has answered a message that says so.
func (m *stateMachine) leavingAcknowledged() bool {
	own := m.ownRecord()
	if own.state() != assigner.Leaving {
		return own.health == dead
	}
	for _, node := range m.currentNeighbours() {
		if m.acknowledgedRevisions[node] < own.revision {
			return false
		}
	}
	return true
}
