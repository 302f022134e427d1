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

// VM is one entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name identifier.Node `json:"name,omitempty"`
	// Address is an entry VM's peer address, or a backend server's address.
	Address    identifier.Address    `json:"address"`
	DataCentre identifier.DataCentre `json:"data-centre"`
	// Entry is true for entry VMs and false for VMs of backend servers.
	Entry   bool `json:"entry"`
	Leaving bool `json:"leaving"`
}

// vmList is an immutable list of VMs.
type vmList struct {
	// vms is sorted by name; text is its JSON and digest the hash of text.
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

// vmWatchersPerDataCentre is the number of nodes in a data centre that watch the
// list of VMs. With two, the other nodes still learn of leaving VMs if one dies.
const vmWatchersPerDataCentre = 2

// vmWatchers returns the nodes of this data centre that watch the list.
func (p *Publisher) vmWatchers() []assigner.Member {
	return p.options.View().OwnerCandidatesIn(p.options.DataCentre, watchShard, vmWatchersPerDataCentre)
}

func (p *Publisher) watchesVMs() bool {
	isSelf := func(m assigner.Member) bool { return m.Node == p.options.Self }
	return slices.ContainsFunc(p.vmWatchers(), isSelf)
}

// VMs returns the VMs of the latest known list, sorted by name, or nil before
// the first list. Two nodes of each data centre read the list from the store and
// the other nodes from these two. The caller must not modify the result.
func (p *Publisher) VMs() []VM {
	if listed := p.vms.Load(); listed != nil {
		return listed.vms
	}
	return nil
}

// runVMWatch updates the list from the store while this node is a VM watcher.
func (p *Publisher) runVMWatch(ctx context.Context) {
	vms := map[string]VM{}
	addVM := func(object storer.Object) {
		var vm VM
		if err := json.Unmarshal(object.Spec, &vm); err != nil {
			p.options.Log.Log(eventUnreadable, logger.Fields{"vm": object.Name, "error": err.Error()})
			return
		}
		vm.Name = identifier.Node(object.Name)
		vms[object.Name] = vm
	}
	replaceList := func() {
		listed := make([]VM, 0, len(vms))
		for _, vm := range vms {
			listed = append(listed, vm)
		}
		p.vms.Store(newVMList(listed))
	}
	watcher := &storeWatcher{
		publisher: p,
		kind:      storer.KindVM,
		isOwner:   p.watchesVMs,
		onList: func(objects []storer.Object) {
			clear(vms)
			for _, object := range objects {
				addVM(object)
			}
			replaceList()
		},
		onChange: func(event storer.Event) {
			if event.Change == storer.Deleted {
				delete(vms, event.Object.Name)
			} else {
				addVM(event.Object)
			}
			replaceList()
		},
	}
	watcher.run(ctx)
}

// runVMPolling periodically fetches the list of VMs from a VM watcher while this
// node is not a VM watcher. After a failure it switches to the next watcher.
func (p *Publisher) runVMPolling(ctx context.Context) {
	watcherIndex := 0
	for pause(ctx, p.jitter.durationAround(p.options.VMInterval)) {
		watchers := p.vmWatchers()
		if len(watchers) == 0 || p.watchesVMs() {
			continue
		}
		watcher := watchers[watcherIndex%len(watchers)]
		if err := p.fetchVMs(ctx, watcher.PeerAddress); err != nil {
			watcherIndex++
			p.options.Log.Log(eventPeerFailing, logger.Fields{"peer": watcher.Node, "error": err.Error()})
		}
	}
}

func (p *Publisher) fetchVMs(ctx context.Context, watcher identifier.Address) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.PeerTimeout)
	defer cancel()
	request := &rpc.ListVMsRequest{}
	if have := p.vms.Load(); have != nil {
		request.Have = have.digest
	}
	answer, err := p.client(watcher).ListVMs(ctx, request)
	if err != nil || !answer.GetListed() || len(answer.GetVms()) == 0 {
		return err
	}
	var vms []VM
	if err := json.Unmarshal(answer.GetVms(), &vms); err != nil {
		return errUnreadable.Wrap(err, "list of VMs")
	}
	p.vms.Store(newVMList(vms))
	return nil
}

// ListVMs returns the list of VMs unless the caller already has it.
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
