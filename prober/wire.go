package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/prober/proberrpc"
)

func toWire(m message) *proberrpc.Message {
	wire := &proberrpc.Message{
		Sender:       recordToWire(m.sender),
		To:           string(m.to),
		Digest:       m.digest,
		RumourDigest: m.rumourDigest,
		Records:      mapped(m.records, recordToWire),
		Progress:     mapped(m.progress, progressToWire),
		Rumours:      mapped(m.rumours, rumourToWire),
	}
	if m.repair != nil {
		wire.Repair = &proberrpc.Repair{Buckets: m.repair.buckets[:], Rumours: m.repair.rumours}
	}
	return wire
}

func fromWire(wire *proberrpc.Message) message {
	m := message{
		sender:       recordFromWire(wire.GetSender()),
		to:           identifier.Node(wire.GetTo()),
		digest:       wire.GetDigest(),
		rumourDigest: wire.GetRumourDigest(),
		records:      mapped(wire.GetRecords(), recordFromWire),
		progress:     mapped(wire.GetProgress(), progressFromWire),
		rumours:      mapped(wire.GetRumours(), rumourFromWire),
	}
	if asked := wire.GetRepair(); asked != nil {
		m.repair = &repair{rumours: asked.GetRumours()}
		copy(m.repair.buckets[:], asked.GetBuckets())
	}
	return m
}

func mapped[A, B any](from []A, convert func(A) B) []B {
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
		Peers:         string(r.member.Peers),
		Callers:       string(r.member.Callers),
		Configuration: uint64(r.member.Configuration),
	}
}

func recordFromWire(wire *proberrpc.Record) record {
	return record{
		member: assigner.Member{
			Node:          identifier.Node(wire.GetNode()),
			Incarnation:   identifier.Incarnation(wire.GetIncarnation()),
			DataCentre:    identifier.DataCentre(wire.GetDataCentre()),
			Peers:         identifier.Address(wire.GetPeers()),
			Callers:       identifier.Address(wire.GetCallers()),
			Configuration: identifier.Configuration(wire.GetConfiguration()),
		},
		revision: wire.GetRevision(),
		health:   health(wire.GetHealth()),
		leaving:  wire.GetLeaving(),
	}
}

func progressToWire(p progress) *proberrpc.Progress {
	return &proberrpc.Progress{
		Node:          string(p.node),
		Incarnation:   uint64(p.incarnation),
		Configuration: uint64(p.configuration),
	}
}

func progressFromWire(wire *proberrpc.Progress) progress {
	return progress{
		node:          identifier.Node(wire.GetNode()),
		incarnation:   identifier.Incarnation(wire.GetIncarnation()),
		configuration: identifier.Configuration(wire.GetConfiguration()),
	}
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
