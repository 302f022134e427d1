package follower

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// faultyStore panics in each read, when peers have been asked too.
type faultyStore struct{ Lister }

func (faultyStore) List(context.Context, storer.Kind) (storer.Listing, error) {
	time.Sleep(100 * time.Millisecond)
	panic("fault in a read of the store")
}

type faultyTransport struct{}

func (faultyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	panic("fault in a read of a peer")
}

// TestPanicInRefresh guards against a fault in the reads that a request for an unknown name
// starts in goroutines of their own, which ends the process.
func TestPanicInRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		view := &assigner.View{Self: assigner.Member{Node: "a", State: assigner.Alive}}
		view.Members = []assigner.Member{view.Self, {Node: "b", PeerAddress: "b", State: assigner.Alive}}
		f := New(Options{
			Self: "a", Kinds: []storer.Kind{testKind}, Compare: compareNumbers, Store: faultyStore{}, PeerTransport: faultyTransport{},
			View: func() *assigner.View { return view }, OnChange: func(storer.Kind, storer.Listing) {},
			Log: logger.New(&log, logrus.ErrorLevel, nil),
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.Refresh(ctx)
		for _, want := range []string{"fault in a read of the store", "fault in a read of a peer"} {
			if !strings.Contains(log.String(), want) {
				t.Errorf("%q is not in the log", want)
			}
		}
	})
}
