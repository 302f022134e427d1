package limiter

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
)

// TestPanicInTry guards against a fault in a try's goroutine that ends the process: trials of
// review/10 ended two of three processes in the second try of look-ups.
func TestPanicInTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var panics atomic.Int32
		hedge := func(send func(try int) (string, error), discard func(string)) (string, error) {
			budget := New(Options{Burst: 10}).Pool("p")
			answer, release, err := Hedge(t.Context(), budget, HedgeOptions[string]{
				Send:    func(_ context.Context, try int) (string, error) { return send(try) },
				Discard: discard,
				Delay:   time.Millisecond,
				OnPanic: func(any, []byte) { panics.Add(1) },
			})
			release()
			synctest.Wait()
			return answer, err
		}
		if answer, err := hedge(func(try int) (string, error) {
			if try == 0 {
				panic("fault")
			}
			return "second", nil
		}, nil); answer != "second" || err != nil || panics.Load() != 1 {
			t.Errorf("fault in the first try: %q, %v, %d panics", answer, err, panics.Load())
		}
		if _, err := hedge(func(try int) (string, error) {
			if try == 0 {
				return "", errors.New("down")
			}
			panic("fault")
		}, nil); !errorx.IsOfType(err, Panicked) || panics.Load() != 2 {
			t.Errorf("fault in the second try: %v, %d panics", err, panics.Load())
		}
		slow := make(chan struct{})
		if answer, err := hedge(func(try int) (string, error) {
			if try == 0 {
				<-slow
				return "slow", nil
			}
			defer close(slow)
			return "quick", nil
		}, func(string) { panic("fault") }); answer == "" || err != nil {
			t.Errorf("fault while an answer is discarded: %q, %v", answer, err)
		}
		if panics.Load() != 3 {
			t.Errorf("%d panics were reported", panics.Load())
		}
		if _, err := hedge(func(int) (string, error) { panic(http.ErrAbortHandler) }, nil); err == nil || panics.Load() != 3 {
			t.Errorf("an aborted handler: %v, %d panics", err, panics.Load())
		}
	})
}
