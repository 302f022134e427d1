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

// Handler returns the path prefix and the handler for other nodes' calls.
func (p *Prober) Handler() (string, http.Handler) {
	server := proberrpc.NewProberServer(&server{p})
	return server.PathPrefix(), server
}

// server serves the calls of other nodes.
type server struct {
	prober *Prober
}

// Exchange takes a message in and answers it.
func (s *server) Exchange(_ context.Context, wire *proberrpc.Message) (*proberrpc.Message, error) {
	if wire.GetSender().GetNode() == "" {
		return nil, twirp.RequiredArgumentError("sender")
	}
	var answer message
	s.prober.with(func(m *machine, now time.Time) { answer = m.receive(now, fromWire(wire)) })
	return toWire(answer), nil
}

// Probe probes another node for the caller, over this node's own connection.
func (s *server) Probe(ctx context.Context, wire *proberrpc.ProbeRequest) (*proberrpc.ProbeResponse, error) {
	p := s.prober
	target := identifier.Node(wire.GetNode())
	var question message
	p.with(func(m *machine, now time.Time) { question = m.assist(now, target) })
	end := p.exchange(ctx, p.options.Peers, identifier.Address(wire.GetPeers()), question)
	answered := false
	if end.answer != nil {
		p.with(func(m *machine, now time.Time) { answered = m.assisted(now, target, *end.answer) })
	}
	return &proberrpc.ProbeResponse{Answered: answered, Refused: end.refused}, nil
}

// execute makes one exchange, tells the machine its end, and reports on ended.
func (p *Prober) execute(ctx context.Context, a action, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	transport, done := p.transport(a.method)
	defer done()
	var end ending
	var found finding
	if a.method == through {
		found = p.askHelper(ctx, transport, a)
	} else {
		end = p.exchange(ctx, transport, a.address, a.message)
	}
	if ctx.Err() != nil {
		// This node ends: that the exchange failed tells nothing of the other.
		return
	}
	p.conclude(a, end, found)
}

// exchange sends a message and waits for the answer.
func (p *Prober) exchange(
	ctx context.Context, transport http.RoundTripper, to identifier.Address, question message,
) ending {
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	wire, err := client(transport, to).Exchange(ctx, toWire(question))
	if err != nil || wire.GetSender().GetNode() == "" {
		return ending{refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	answer := fromWire(wire)
	return ending{answer: &answer}
}

// askHelper has another node probe the target. The helper has a timeout of its
// own, so it gets twice as long.
func (p *Prober) askHelper(ctx context.Context, transport http.RoundTripper, a action) finding {
	ctx, cancel := context.WithTimeout(ctx, 2*p.options.Timeout)
	defer cancel()
	answer, err := client(transport, a.address).Probe(ctx, &proberrpc.ProbeRequest{
		Node: string(a.target.member.Node), Peers: string(a.target.member.PeerAddress),
	})
	if err != nil {
		return finding{}
	}
	return finding{answered: answer.GetAnswered(), refused: answer.GetRefused()}
}

func client(transport http.RoundTripper, to identifier.Address) proberrpc.Prober {
	return proberrpc.NewProberProtobufClient("http://"+string(to), &http.Client{Transport: transport})
}

// leaveTold tells whether all neighbours were told that this node is leaving.
func (m *machine) leaveTold() bool {
	own := m.self()
	if own.state() != assigner.Leaving {
		return own.health == dead
	}
	for _, node := range m.currentNeighbours() {
		if m.acknowledged[node] < own.revision {
			return false
		}
	}
	return true
}
