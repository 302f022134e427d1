package limiter

import "time"

// maxSavedTime limits the requests that a Bucket saves up to those of this time, or one.
const maxSavedTime = 250 * time.Millisecond

// Bucket saves up the requests that a rate allows. The zero Bucket is empty. It is not safe for
// concurrent use.
type Bucket struct {
	saved float64
	// savedAt is when saved was last raised; zero means never.
	savedAt time.Time
}

// Refill adds what a rate, in requests a second, has allowed since the last call.
func (b *Bucket) Refill(now time.Time, rate float64) {
	if b.savedAt.IsZero() {
		b.savedAt = now
	}
	b.saved = min(b.saved+now.Sub(b.savedAt).Seconds()*rate, max(1, rate*maxSavedTime.Seconds()))
	b.savedAt = now
}

// Ready reports whether a request may be sent.
func (b *Bucket) Ready() bool { return b.saved >= 1 }

// Take counts a request.
func (b *Bucket) Take() { b.saved-- }

// Wait returns how long it takes at a positive rate until a request may be sent.
func (b *Bucket) Wait(rate float64) time.Duration {
	if b.Ready() {
		return 0
	}
	return time.Duration((1 - b.saved) / rate * float64(time.Second))
}
