package server

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
	"github.com/foxtailspool/foxtailspool/recorder"
	"github.com/foxtailspool/foxtailspool/tabulator"
	"github.com/foxtailspool/foxtailspool/tracer"
)

// traced makes a span of each step that a request takes at a backend server.
// The span of a stream ends when the stream begins; the transport's own span
// below it lasts until the stream is closed.
type traced struct {
	*invoker.Invoker
	tracer *tracer.Tracer
}

func memberAttribute(member tabulator.Member) attribute.KeyValue {
	return attribute.String("foxtailspool.member", string(member.Name))
}

// Prefill computes the KV cache of a prompt.
func (t traced) Prefill(ctx context.Context, member tabulator.Member, work invoker.Work) (invoker.KV, error) {
	ctx, span := t.tracer.Start(ctx, hopPrefill, memberAttribute(member))
	kv, err := t.Invoker.Prefill(ctx, member, work)
	span.End(err)
	return kv, err
}

// Decode moves the KV cache to a decode engine and begins the stream.
func (t traced) Decode(ctx context.Context, member tabulator.Member, work invoker.Work, kv invoker.KV) (*invoker.Stream, error) {
	ctx, span := t.tracer.Start(ctx, hopDecode, memberAttribute(member))
	stream, err := t.Invoker.Decode(ctx, member, work, kv)
	span.End(err)
	return stream, err
}

// Resume goes on with a stream on a new connection.
func (t traced) Resume(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, after identifier.Tokens, reader uint64) (*invoker.Stream, error) {
	ctx, span := t.tracer.Start(ctx, hopDecode, memberAttribute(member), attribute.Int("foxtailspool.after", int(after)))
	stream, err := t.Invoker.Resume(ctx, member, attempt, after, reader)
	span.End(err)
	return stream, err
}

// Call sends a plain call to a service.
func (t traced) Call(ctx context.Context, member tabulator.Member, call invoker.Call) (invoker.Reply, error) {
	ctx, span := t.tracer.Start(ctx, hopService, memberAttribute(member))
	reply, err := t.Invoker.Call(ctx, member, call)
	span.End(err)
	return reply, err
}

// tracedLedger makes a span of each step that a call takes in the ledger, with its
// write to the platform. One write holds the steps of many calls, so that it has
// no span of its own.
type tracedLedger struct {
	*recorder.Recorder
	tracer *tracer.Tracer
}

func ledgerStep(step string) attribute.KeyValue {
	return attribute.String("foxtailspool.ledger-step", step)
}

// Claim asks whether a call may run.
func (t tracedLedger) Claim(ctx context.Context, call recorder.Call) recorder.ClaimResult {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStep("claim"))
	defer span.End(nil)
	return t.Recorder.Claim(ctx, call)
}

// Await waits for the end of the attempt that runs.
func (t tracedLedger) Await(ctx context.Context, call recorder.Call) recorder.ClaimResult {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStep("await"))
	defer span.End(nil)
	return t.Recorder.Await(ctx, call)
}

// Settle keeps the answer of a call that ran.
func (t tracedLedger) Settle(ctx context.Context, call recorder.Call, answer *recorder.Answer) {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStep("settle"))
	defer span.End(nil)
	t.Recorder.Settle(ctx, call, answer)
}
