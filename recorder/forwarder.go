package recorder

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/recorder/recorderrpc"
)

// forward applies an operation at another node and returns its result.
func (r *Recorder) forward(ctx context.Context, to assigner.Member, op *operation) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.ForwardTimeout)
	defer cancel()
	client := recorderrpc.NewLedgerProtobufClient("http://"+string(to.PeerAddress), &http.Client{Transport: r.options.Peers})
	send := client.Apply
	if op.kind == opSeal {
		send = client.Seal
	}
	outcome, err := send(ctx, toWire(op))
	if err != nil {
		return result{}, err
	}
	return result{
		claim:               ClaimResult{Verdict: Verdict(outcome.GetVerdict()), Answer: fromWireAnswer(outcome.GetAnswer())},
		answerObjectAttempt: identifier.Attempt(outcome.GetStoredBy()),
		failed:              outcome.GetFailed(),
		uncertain:           outcome.GetUncertain(),
	}, nil
}

// Handler returns the path and the handler of the service that other nodes call.
func (r *Recorder) Handler() (string, http.Handler) {
	server := recorderrpc.NewLedgerServer(&handler{recorder: r})
	return server.PathPrefix(), server
}

// handler serves the operations that other nodes forward.
type handler struct {
	recorder *Recorder
}

// Apply applies an operation as the owner of its shard.
func (h *handler) Apply(ctx context.Context, wire *recorderrpc.Operation) (*recorderrpc.Outcome, error) {
	op, err := fromWire(wire)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	switch op.kind {
	case opClaim, opAnswer, opWithdraw, opAbandon, opAnswerBound, opRead:
		return toOutcome(h.recorder.applyLocally(ctx, op)), nil
	default:
		return nil, twirp.InvalidArgumentError("kind", "unknown")
	}
}

// Seal seals a key that is bound to this process, and returns the verdict on the key.
func (h *handler) Seal(_ context.Context, wire *recorderrpc.Operation) (*recorderrpc.Outcome, error) {
	op, err := fromWire(wire)
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	if op.kind != opSeal || !op.key.bound || !h.recorder.isBoundHere(op.key) {
		return nil, twirp.FailedPrecondition.Error("the key is not bound to this process")
	}
	return toOutcome(h.recorder.bound.claimOrSeal(op)), nil
}

func toWire(op *operation) *recorderrpc.Operation {
	wire := &recorderrpc.Operation{
		Kind:        string(op.kind),
		Key:         string(op.call.Key),
		Fingerprint: op.call.Fingerprint,
		Attempt:     string(op.call.Attempt),
		Node:        string(op.call.Node),
		Incarnation: uint64(op.call.Incarnation),
		Answer:      toWireAnswer(op.answer),
		Stored:      op.hasAnswerObject,
	}
	if !op.call.Issued.IsZero() {
		wire.IssuedMilliseconds = op.call.Issued.UnixMilli()
	}
	return wire
}

func fromWire(wire *recorderrpc.Operation) (*operation, error) {
	call := Call{
		Key:         identifier.Key(wire.GetKey()),
		Fingerprint: wire.GetFingerprint(),
		Attempt:     identifier.Attempt(wire.GetAttempt()),
		Node:        identifier.Node(wire.GetNode()),
		Incarnation: identifier.Incarnation(wire.GetIncarnation()),
	}
	if wire.GetIssuedMilliseconds() != 0 {
		call.Issued = time.UnixMilli(wire.GetIssuedMilliseconds())
	}
	key, err := parseKey(call.Key, call.Issued)
	if err != nil {
		return nil, err
	}
	op := newOperation(operationKind(wire.GetKind()), key, call, fromWireAnswer(wire.GetAnswer()))
	op.hasAnswerObject = wire.GetStored()
	return op, nil
}

func toOutcome(applied result) *recorderrpc.Outcome {
	return &recorderrpc.Outcome{
		Verdict:   string(applied.claim.Verdict),
		Answer:    toWireAnswer(applied.claim.Answer),
		StoredBy:  string(applied.answerObjectAttempt),
		Failed:    applied.failed,
		Uncertain: applied.uncertain,
	}
}

func toWireAnswer(answer *Answer) *recorderrpc.Answer {
	if answer == nil {
		return nil
	}
	return &recorderrpc.Answer{Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body}
}

func fromWireAnswer(wire *recorderrpc.Answer) *Answer {
	if wire == nil {
		return nil
	}
	return &Answer{Status: int(wire.GetStatus()), ContentType: wire.GetContentType(), Body: wire.GetBody()}
}
