package identifier

import "time"

// Bounds of numbers that come from outside: from callers, backend servers, the store or other
// nodes. Sums and products of numbers within them do not overflow.
const (
	// MaxTokens is above the memory of any engine and the length of any prompt.
	MaxTokens Tokens = 1 << 30
	// MaxPieces is above the memory of any engine.
	MaxPieces Pieces = 1 << 30
	// MaxDuration is above any timeout, lease or age.
	MaxDuration = 30 * 24 * time.Hour
)

// BoundedTokens returns a number of tokens from outside, or zero, which means unknown, if it is
// out of bounds.
func BoundedTokens(n int64) Tokens {
	if n < 0 || n > int64(MaxTokens) {
		return 0
	}
	return Tokens(n)
}

// BoundedPieces returns a number of pieces from outside, or zero if it is out of bounds.
func BoundedPieces(n int64) Pieces {
	if n < 0 || n > int64(MaxPieces) {
		return 0
	}
	return Pieces(n)
}

// BoundedDuration returns a number of units from outside as a duration. Negative numbers and
// NaN become zero, and larger ones MaxDuration.
func BoundedDuration(units float64, unit time.Duration) time.Duration {
	switch product := units * float64(unit); {
	case product >= float64(MaxDuration):
		return MaxDuration
	case product > 0:
		return time.Duration(product)
	default:
		return 0
	}
}
