package dispatcher

import (
	"time"

	"github.com/foxtailspool/foxtailspool/dispatcher/dispatcherrpc"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// minLateWait is the wait of a demand that is late: the owner's plans need a positive one.
const minLateWait = time.Millisecond

// boundedDuration returns a duration from another node, from 0 to identifier.MaxDuration.
func boundedDuration(nanoseconds int64) time.Duration {
	return min(max(0, time.Duration(nanoseconds)), identifier.MaxDuration)
}

// encodeDemand encodes a demand with the given wait instead of d.FirstTokenBudget. The time by
// which the wait is shorter is no longer left to the caller either.
func encodeDemand(d *placer.Demand, wait time.Duration) *dispatcherrpc.Demand {
	message := &dispatcherrpc.Demand{
		Request:            string(d.Request),
		Attempt:            d.Attempt,
		Route:              string(d.Route),
		Rank:               uint32(d.Rank),
		Account:            string(d.Account),
		DataCentre:         string(d.DataCentre),
		PromptTokens:       int64(d.Prompt),
		LimitTokens:        int64(d.MaxOutput),
		WaitNanoseconds:    int64(wait),
		BetweenNanoseconds: int64(d.MaxTokenInterval),
		Prefixes:           d.Prefixes,
		HintTokens:         int64(d.OutputHint),
		HoldNanoseconds:    int64(d.QueueTimeout),
		Returning:          d.RetryKey,
		Late:               d.TargetMissed,
		Suspect:            d.Suspect,
		Fresh:              d.NoResume,
	}
	if wait <= 0 && d.QueueTimeout > 0 && d.TimeLeft > 0 {
		// A repeat that waits longer than its target allows, and has to wait on at a new owner.
		message.Late = true
		message.WaitNanoseconds = int64(minLateWait)
	}
	if d.TimeLeft > 0 {
		// Zero would mean unknown.
		message.LeftNanoseconds = int64(max(1, d.TimeLeft-(d.FirstTokenBudget-wait)))
	}
	if d.FirstTokenTimeLeft > 0 {
		message.FirstLeftNanoseconds = int64(max(1, d.FirstTokenTimeLeft-(d.FirstTokenBudget-wait)))
	}
	for _, member := range d.Avoid {
		message.Avoid = append(message.Avoid, string(member))
	}
	return message
}

// maxPrefixes and maxAvoided bound the lists of a demand from another node. Nodes send far fewer.
const (
	maxPrefixes = 128
	maxAvoided  = 1024
)

// decodeDemand decodes a demand. A rank that this version does not have becomes the least urgent.
func decodeDemand(pool identifier.Pool, node identifier.Node, message *dispatcherrpc.Demand) placer.Demand {
	d := placer.Demand{
		Request:          identifier.Request(message.GetRequest()),
		Attempt:          message.GetAttempt(),
		Pool:             pool,
		Route:            identifier.Route(message.GetRoute()),
		Rank:             identifier.Rank(min(message.GetRank(), uint32(identifier.Lesser))),
		Account:          identifier.Account(message.GetAccount()),
		Node:             node,
		DataCentre:       identifier.DataCentre(message.GetDataCentre()),
		Prompt:           max(1, identifier.BoundedTokens(message.GetPromptTokens())),
		MaxOutput:        identifier.BoundedTokens(message.GetLimitTokens()),
		FirstTokenBudget: boundedDuration(message.GetWaitNanoseconds()),
		MaxTokenInterval: boundedDuration(message.GetBetweenNanoseconds()),
		Prefixes:         message.GetPrefixes()[:min(len(message.GetPrefixes()), maxPrefixes)],
		OutputHint:       identifier.BoundedTokens(message.GetHintTokens()),
		QueueTimeout:     boundedDuration(message.GetHoldNanoseconds()),
		RetryKey:         message.GetReturning(),
		TimeLeft:         boundedDuration(message.GetLeftNanoseconds()),

		FirstTokenTimeLeft: boundedDuration(message.GetFirstLeftNanoseconds()),

		TargetMissed: message.GetLate(),
		Suspect:      message.GetSuspect(),
		NoResume:     message.GetFresh(),
	}
	for _, member := range message.GetAvoid()[:min(len(message.GetAvoid()), maxAvoided)] {
		d.Avoid = append(d.Avoid, identifier.Member(member))
	}
	return d
}

// encodeRenewal encodes a grant's progress, and the whole grant if the owner
// doesn't know it.
func encodeRenewal(h *heldGrant) *dispatcherrpc.Renewal {
	message := &dispatcherrpc.Renewal{
		Grant:        string(h.Grant),
		OutputTokens: int64(h.Output),
		Decoding:     h.Decoding,
		// The owner uses only the first report of a grant's prefill time.
		PrefillNanoseconds: int64(h.PrefillTime),
	}
	if h.knownToOwner {
		return message
	}
	message.Prefill = string(h.Prefill)
	message.Decode = string(h.Decode)
	message.Pieces = int64(h.Pieces)
	message.Stream = h.Stream
	message.Demand = encodeDemand(&h.Demand, h.Demand.FirstTokenBudget)
	return message
}

func decodeRenewal(pool identifier.Pool, node identifier.Node, message *dispatcherrpc.Renewal) placer.HeldGrant {
	return placer.HeldGrant{
		Grant:       identifier.Grant(message.GetGrant()),
		Demand:      decodeDemand(pool, node, message.GetDemand()),
		Prefill:     identifier.Member(message.GetPrefill()),
		Decode:      identifier.Member(message.GetDecode()),
		Pieces:      identifier.BoundedPieces(message.GetPieces()),
		Output:      identifier.BoundedTokens(message.GetOutputTokens()),
		Decoding:    message.GetDecoding(),
		Stream:      message.GetStream(),
		PrefillTime: boundedDuration(message.GetPrefillNanoseconds()),
	}
}

func encodeRelease(r *pendingRelease) *dispatcherrpc.Release {
	return &dispatcherrpc.Release{
		Grant:              string(r.grant),
		OutputTokens:       int64(r.result.Output),
		Prefilled:          r.result.Prefilled,
		Decoded:            r.result.Decoded,
		Failed:             string(r.result.FailedMember),
		PrefillNanoseconds: int64(r.result.PrefillTime),
		PrefillEnding:      uint32(r.result.PrefillEnding),
		DecodeEnding:       uint32(r.result.DecodeEnding),
	}
}

func decodeRelease(message *dispatcherrpc.Release) (identifier.Grant, placer.Result) {
	return identifier.Grant(message.GetGrant()), placer.Result{
		Output:       identifier.BoundedTokens(message.GetOutputTokens()),
		Prefilled:    message.GetPrefilled(),
		Decoded:      message.GetDecoded(),
		FailedMember: identifier.Member(message.GetFailed()),
		PrefillTime:  boundedDuration(message.GetPrefillNanoseconds()),

		PrefillEnding: placer.EndingFromNumber(message.GetPrefillEnding()),
		DecodeEnding:  placer.EndingFromNumber(message.GetDecodeEnding()),
	}
}

func encodeDecision(d *placer.Decision) *dispatcherrpc.Decision {
	message := &dispatcherrpc.Decision{Request: string(d.Request), Attempt: d.Attempt}
	if placed := d.Outcome.Placement; placed != nil {
		message.Grant = string(placed.Grant)
		message.Prefill = string(placed.Prefill)
		message.Decode = string(placed.Decode)
		message.Pieces = int64(placed.Pieces)
		message.LeaseNanoseconds = int64(placed.Lease)
		message.Stream = placed.Stream
		message.GrantedAttempt = placed.Attempt
		return message
	}
	message.Reason = string(d.Outcome.Refusal.Reason)
	message.RetryAfterNanoseconds = int64(d.Outcome.Refusal.RetryAfter)
	return message
}

func decodeDecision(message *dispatcherrpc.Decision) placer.Decision {
	decision := placer.Decision{
		Request: identifier.Request(message.GetRequest()),
		Attempt: message.GetAttempt(),
	}
	if message.GetReason() != "" {
		decision.Outcome = refusal(placer.Reason(message.GetReason()), boundedDuration(message.GetRetryAfterNanoseconds()))
		return decision
	}
	decision.Outcome.Placement = &placer.Placement{
		Grant:   identifier.Grant(message.GetGrant()),
		Prefill: identifier.Member(message.GetPrefill()),
		Decode:  identifier.Member(message.GetDecode()),
		Pieces:  identifier.BoundedPieces(message.GetPieces()),
		Attempt: message.GetGrantedAttempt(),
		Stream:  message.GetStream(),
		Lease:   boundedDuration(message.GetLeaseNanoseconds()),
	}
	return decision
}
