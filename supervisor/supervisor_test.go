package supervisor_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/supervisor"
)

// stopRecorder records its end, one second after it is stopped.
type stopRecorder struct {
	name  string
	fail  error
	ended *[]string
}

func (s stopRecorder) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	time.Sleep(time.Second)
	*s.ended = append(*s.ended, s.name)
	return nil
}

// A service uses those started before it. Each must therefore stop only after all
// later ones have ended.
func TestStopsInReverseOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended []string
		s := supervisor.New()
		for _, name := range []string{"membership", "router", "callers"} {
			s.Register(name, stopRecorder{name: name, ended: &ended})
		}
		s.Register("failing", stopRecorder{fail: errors.New("broken")})
		if err := s.Run(t.Context()); !errorx.IsOfType(err, supervisor.ServiceFailed) {
			t.Errorf("got %v", err)
		}
		if want := []string{"callers", "router", "membership"}; !slices.Equal(ended, want) {
			t.Errorf("ended %v, want %v", ended, want)
		}
	})
}

func TestFind(t *testing.T) {
	s := supervisor.New()
	s.Register("number", 7)
	if number, ok := supervisor.Find[int](s, "number"); !ok || number != 7 {
		t.Errorf("got %d, %t", number, ok)
	}
	if _, ok := supervisor.Find[string](s, "number"); ok {
		t.Error("found a service of another type")
	}
	if _, ok := supervisor.Find[int](s, "nothing"); ok {
		t.Error("found a service that was not registered")
	}
}
