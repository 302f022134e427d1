package server

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/invoker"
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
