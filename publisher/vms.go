package publisher

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	rpc "github.com/foxtailspool/foxtailspool/publisher/publisherrpc"
	"github.com/foxtailspool/foxtailspool/storer"
)

// VM is one row of the platform's list of VMs, which lags behind the truth.
type VM struct {
	Name identifier.Node `json:"name,omitempty"`
	// Address is where other nodes reach an entry VM, or a backend server's own.
	Address    identifier.Address    `json:"address"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Entry tells entry VMs from VMs of backend servers.
	Entry   bool `json:"entry"`
	Leaving bool `json:"leaving"`
}

// vmList is the list as a node has it. It is immutable.
type vmList struct {
	// vms is sorted by name; text is its JSON and digest the hash of that.
	vms    []VM
	text   []byte
	digest uint64
}

func newVMList(vms []VM) *vmList {
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	text, err := json.Marshal(vms)
	if err != nil {
		panic("a list of VMs cannot be written as JSON: " + err.Error())
	}
	return &vmList{vms: vms, text: text, digest: xxhash.Sum64(text)}
}

// vmWatchers is how many nodes of a data centre watch the list of VMs, so that
// the death of one does not keep the others from learning of a leaving VM.
const vmWatchers = 2

// vmSources lists the nodes of the own data centre that watch the list.
func (p *Publisher) vmSources() []assigner.Member {
	return p.options.View().OwnerCandidatesIn(p.options.DataCentre, feedShard, vmWatchers)
}

func (p *Publisher) watchesVMs() bool {
	isSelf := func(m assigner.Member) bool { return m.Node == p.options.Self }
	return slices.ContainsFunc(p.vmSources(), isSelf)
}

// Listed returns the VMs as the platform last listed them, sorted by name. Two
// nodes of each data centre have them from the store, the others from these.
// The result must not be changed.
func (p *Publisher) Listed() []VM {
	if listed := p.vms.Load(); listed != nil {
		return listed.vms
	}
	return nil
}

// runVMFeed keeps the list from the store while this node watches it.
func (p *Publisher) runVMFeed(ctx context.Context) {
	vms := map[string]VM{}
	take := func(object storer.Object) {
		var vm VM
		if err := json.Unmarshal(object.Spec, &vm); err != nil {
			p.options.Log.Log(eventUnreadable, logger.Fields{"vm": object.Name, "error": err.Error()})
			return
		}
		vm.Name = identifier.Node(object.Name)
		vms[object.Name] = vm
	}
	tell := func() {
		listed := make([]VM, 0, len(vms))
		for _, vm := range vms {
			listed = append(listed, vm)
		}
		p.vms.Store(newVMList(listed))
	}
	follower := &feed{
		publisher: p,
		kind:      storer.KindVM,
		owns:      p.watchesVMs,
		listed: func(all []storer.Object) {
			clear(vms)
			for _, object := range all {
				take(object)
			}
			tell()
		},
		changed: func(event storer.Event) {
			if event.Change == storer.Deleted {
				delete(vms, event.Object.Name)
			} else {
				take(event.Object)
			}
			tell()
		},
	}
	follower.run(ctx)
}

// runVMFollow asks a node that watches the list for it again and again while
// this node does not. After a failure it asks the next one.
func (p *Publisher) runVMFollow(ctx context.Context) {
	turn := 0
	for pause(ctx, p.jitter.around(p.options.VMInterval)) {
		sources := p.vmSources()
		if len(sources) == 0 || p.watchesVMs() {
			continue
		}
		source := sources[turn%len(sources)]
		if err := p.followVMs(ctx, source.PeerAddress); err != nil {
			turn++
			p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": source.Node, "error": err.Error()})
		}
	}
}

func (p *Publisher) followVMs(ctx context.Context, owner identifier.Address) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.PeerTimeout)
	defer cancel()
	request := &rpc.ListVMsRequest{}
	if have := p.vms.Load(); have != nil {
		request.Have = have.digest
	}
	answer, err := p.client(owner).ListVMs(ctx, request)
	if err != nil || !answer.GetListed() || len(answer.GetVms()) == 0 {
		return err
	}
	var vms []VM
	if err := json.Unmarshal(answer.GetVms(), &vms); err != nil {
		return unreadable.Wrap(err, "list of VMs")
	}
	p.vms.Store(newVMList(vms))
	return nil
}

// ListVMs answers another node of the data centre.
func (s *feedServer) ListVMs(_ context.Context, request *rpc.ListVMsRequest) (*rpc.ListVMsResponse, error) {
	listed := s.publisher.vms.Load()
	if listed == nil {
		return &rpc.ListVMsResponse{}, nil
	}
	answer := &rpc.ListVMsResponse{Listed: true}
	if listed.digest != request.GetHave() {
		answer.Vms = listed.text
	}
	return answer, nil
}
