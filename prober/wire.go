package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober/proberrpc"
)

func toWire(m message) *proberrpc.Message {
	wire := &proberrpc.Message{
		Sender:         recordToWire(m.sender),
		To:             string(m.recipient),
		Digest:         m.digest,
		ProgressDigest: m.configurationDigest,
		RumourDigest:   m.rumourDigest,
		Records:        mapSlice(m.records, recordToWire),
		Progress:       configurationsToWire(m.configurations),
		Rumours:        mapSlice(m.rumours, rumourToWire),
	}
	if m.repair != nil {
		wire.Repair = &proberrpc.Repair{
			Buckets: m.repair.recordDigests[:], Progress: m.repair.configurationDigests[:], Rumours: m.repair.rumourIDs,
		}
	}
	return wire
}

func fromWire(wire *proberrpc.Message) message {
	m := message{
		sender:              recordFromWire(wire.GetSender()),
		recipient:           identifier.Node(wire.GetTo()),
		digest:              wire.GetDigest(),
		configurationDigest: wire.GetProgressDigest(),
		rumourDigest:        wire.GetRumourDigest(),
		records:             mapSlice(wire.GetRecords(), recordFromWire),
		configurations:      configurationsFromWire(wire.GetProgress()),
		rumours:             mapSlice(wire.GetRumours(), rumourFromWire),
	}
	if request := wire.GetRepair(); request != nil {
		m.repair = &repairRequest{rumourIDs: request.GetRumours()}
		copy(m.repair.recordDigests[:], request.GetBuckets())
		copy(m.repair.configurationDigests[:], request.GetProgress())
	}
	return m
}

func mapSlice[A, B any](from []A, convert func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, len(from))
	for i, each := range from {
		to[i] = convert(each)
	}
	return to
}

func recordToWire(r record) *proberrpc.Record {
	return &proberrpc.Record{
		Node:          string(r.member.Node),
		Incarnation:   uint64(r.member.Incarnation),
		Revision:      r.revision,
		Health:        proberrpc.Health(r.health),
		Leaving:       r.leaving,
		DataCentre:    string(r.member.DataCentre),
		Peers:         string(r.member.PeerAddress),
		Callers:       string(r.member.CallerAddress),
		Configuration: uint64(r.member.Configuration),
		Capacity:      uint32(r.member.Capacity),
	}
}

func recordFromWire(wire *proberrpc.Record) record {
	return record{
		member: assigner.Member{
			Node:          identifier.Node(wire.GetNode()),
			Incarnation:   identifier.Incarnation(wire.GetIncarnation()),
			DataCentre:    identifier.DataCentre(wire.GetDataCentre()),
			PeerAddress:   identifier.Address(wire.GetPeers()),
			CallerAddress: identifier.Address(wire.GetCallers()),
			Configuration: identifier.Configuration(wire.GetConfiguration()),
			Capacity:      identifier.Capacity(wire.GetCapacity()),
		},
		revision: wire.GetRevision(),
		health:   healthFromWire(wire.GetHealth()),
		leaving:  wire.GetLeaving(),
	}
}

// healthFromWire converts a health. One that this version does not know must not win against
// all others.
func healthFromWire(wire proberrpc.Health) health {
	if wire < proberrpc.Health(alive) || wire > proberrpc.Health(dead) {
		return alive
	}
	return health(wire)
}

// configurationsToWire groups the runs by configuration, as most have the same one.
func configurationsToWire(all []runConfiguration) []*proberrpc.Progress {
	groups := map[identifier.Configuration]*proberrpc.Progress{}
	var wire []*proberrpc.Progress
	for _, p := range all {
		group, known := groups[p.configuration]
		if !known {
			group = &proberrpc.Progress{Configuration: uint64(p.configuration)}
			groups[p.configuration] = group
			wire = append(wire, group)
		}
		group.Runs = append(group.Runs, uint64(p.run))
	}
	return wire
}

func configurationsFromWire(wire []*proberrpc.Progress) []runConfiguration {
	var all []runConfiguration
	for _, group := range wire {
		for _, run := range group.GetRuns() {
			all = append(all, runConfiguration{runID(run), identifier.Configuration(group.GetConfiguration())})
		}
	}
	return all
}

func rumourToWire(r rumour) *proberrpc.Rumour {
	return &proberrpc.Rumour{
		Id: r.id, Topic: r.topic, Payload: r.payload, RemainingMs: uint32(r.remaining.Milliseconds()),
	}
}

func rumourFromWire(wire *proberrpc.Rumour) rumour {
	return rumour{
		id:        wire.GetId(),
		topic:     wire.GetTopic(),
		payload:   wire.GetPayload(),
		remaining: time.Duration(wire.GetRemainingMs()) * time.Millisecond,
	}
}
