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

// tracedInvoker records a span for each call to a backend server. The span of a
// stream ends when the stream begins; its child span, recorded by the transport,
// lasts until the stream is closed.
type tracedInvoker struct {
	*invoker.Invoker
	tracer *tracer.Tracer
}

func memberAttribute(member tabulator.Member) attribute.KeyValue {
	return attribute.String("foxtailspool.member", string(member.Name))
}

// Prefill makes an engine compute the KV cache of a prompt.
func (t tracedInvoker) Prefill(ctx context.Context, member tabulator.Member, work invoker.Work) (invoker.KV, error) {
	ctx, span := t.tracer.Start(ctx, hopPrefill, memberAttribute(member))
	kv, err := t.Invoker.Prefill(ctx, member, work)
	span.End(err)
	return kv, err
}

// Decode transfers the KV cache to a decode engine and opens the stream.
func (t tracedInvoker) Decode(ctx context.Context, member tabulator.Member, work invoker.Work, kv invoker.KV) (*invoker.Stream, error) {
	ctx, span := t.tracer.Start(ctx, hopDecode, memberAttribute(member))
	stream, err := t.Invoker.Decode(ctx, member, work, kv)
	span.End(err)
	return stream, err
}

// Resume continues a stream on a new connection.
func (t tracedInvoker) Resume(ctx context.Context, member tabulator.Member, attempt identifier.Attempt, after identifier.Tokens, reader uint64) (*invoker.Stream, error) {
	ctx, span := t.tracer.Start(ctx, hopDecode, memberAttribute(member), attribute.Int("foxtailspool.after", int(after)))
	stream, err := t.Invoker.Resume(ctx, member, attempt, after, reader)
	span.End(err)
	return stream, err
}

// Call sends a plain call to a service.
func (t tracedInvoker) Call(ctx context.Context, member tabulator.Member, call invoker.Call) (invoker.Reply, error) {
	ctx, span := t.tracer.Start(ctx, hopService, memberAttribute(member))
	reply, err := t.Invoker.Call(ctx, member, call)
	span.End(err)
	return reply, err
}

// tracedLedger records a span for each ledger operation of a call. The span includes
// the write to the platform, which has no span of its own because one write covers
// operations of many calls.
type tracedLedger struct {
	*recorder.Recorder
	tracer *tracer.Tracer
}

func ledgerStepAttribute(step string) attribute.KeyValue {
	return attribute.String("foxtailspool.ledger-step", step)
}

// Claim asks the ledger whether a call may run.
func (t tracedLedger) Claim(ctx context.Context, call recorder.Call) recorder.ClaimResult {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStepAttribute("claim"))
	defer span.End(nil)
	return t.Recorder.Claim(ctx, call)
}

// Await waits for the end of the running attempt of a call.
func (t tracedLedger) Await(ctx context.Context, call recorder.Call) recorder.ClaimResult {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStepAttribute("await"))
	defer span.End(nil)
	return t.Recorder.Await(ctx, call)
}

// Settle stores the answer of a call that has run.
func (t tracedLedger) Settle(ctx context.Context, call recorder.Call, answer *recorder.Answer) {
	ctx, span := t.tracer.Start(ctx, hopLedger, ledgerStepAttribute("settle"))
	defer span.End(nil)
	t.Recorder.Settle(ctx, call, answer)
}
