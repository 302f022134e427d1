package limiter

import (
	"encoding/json"
	"errors"
	"math"
)

// Rate is how many requests a second a back end takes from all nodes together. It is zero,
// which means no limit, or from minRate to maxRate, so that a number of requests made of it
// fits in an int and a waiting time in a time.Duration.
type Rate struct{ perSecond float64 }

const (
	// maxRate is far above what a process answers. Higher numbers are no limits: programs
	// write the largest integer for "none".
	maxRate = 1e6
	// minRate is one request an hour. A back end that takes less is sent as much as one that
	// takes this.
	minRate = 1.0 / 3600
)

// NewRate returns a rate from a number that a back end or another node names. ok is false, and
// the rate is zero, if the number is negative, infinite, NaN or far above what a process can
// answer.
func NewRate(perSecond float64) (rate Rate, ok bool) {
	switch {
	case perSecond == 0:
		return Rate{}, true
	case math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxRate:
		return Rate{}, false
	default:
		return Rate{max(perSecond, minRate)}, true
	}
}

// PerSecond returns the requests a second; zero means no limit.
func (r Rate) PerSecond() float64 { return r.perSecond }

var errBadRate = errors.New("the number is no rate")

// MarshalJSON encodes the rate as its number.
func (r Rate) MarshalJSON() ([]byte, error) { return json.Marshal(r.perSecond) }

// UnmarshalJSON decodes a number and rejects one that is no rate.
func (r *Rate) UnmarshalJSON(content []byte) error {
	var perSecond float64
	if err := json.Unmarshal(content, &perSecond); err != nil {
		return err
	}
	rate, ok := NewRate(perSecond)
	if !ok {
		return errBadRate
	}
	*r = rate
	return nil
}
