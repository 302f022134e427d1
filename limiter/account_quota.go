package limiter

import "github.com/foxtailspool/foxtailspool/identifier"

// Amount is what requests count towards the quota of an account, in the unit of the quota.
type Amount int64

// AccountQuota is what an account may send through all nodes together. The zero quota is no
// limit.
type AccountQuota struct {
	// Rate is the amount a second, and Burst what may be sent at once besides.
	Rate  float64
	Burst Amount
	// Tokens means that the unit is tokens rather than requests.
	Tokens bool
	// PlainAmount is what a request without token counts counts, if the unit is tokens.
	PlainAmount Amount
}

// Limited reports whether the quota is a limit.
func (q AccountQuota) Limited() bool { return q.Rate > 0 || q.Burst > 0 }

// AmountOf returns what a request with the given tokens, or without token counts, counts.
func (q AccountQuota) AmountOf(prompt, output identifier.Tokens) Amount {
	switch {
	case !q.Tokens:
		return 1
	case prompt+output > 0:
		return Amount(prompt + output)
	default:
		return q.PlainAmount
	}
}
