package storer_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/storer"
)

func newClient(t *testing.T) (*emulator.Platform, *storer.Client) {
	platform := emulator.NewPlatform()
	server := httptest.NewServer(platform)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return platform, storer.NewClient(storer.ClientOptions{
		URL: server.URL, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true},
		CallTimeout: 5 * time.Second, WatchIdleTimeout: 5 * time.Second,
	})
}

func wantErrorType(t *testing.T, err error, kind *errorx.Type) {
	t.Helper()
	if !errorx.IsOfType(err, kind) {
		t.Errorf("got error %v, want %s", err, kind)
	}
}

func TestConditionalWrites(t *testing.T) {
	platform, client := newClient(t)
	ctx := context.Background()
	object := storer.Object{Kind: storer.KindTable, Name: "routes", Spec: []byte(`{"a":1}`)}
	created, err := client.Create(ctx, object)
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Create(ctx, object)
	wantErrorType(t, err, storer.Conflict)
	created.Spec = []byte(`{"a":2}`)
	updated, err := client.Update(ctx, created)
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Update(ctx, created)
	wantErrorType(t, err, storer.Conflict)
	wantErrorType(t, client.Delete(ctx, created), storer.Conflict)
	if err := client.Delete(ctx, updated); err != nil {
		t.Fatal(err)
	}
	_, err = client.Get(ctx, storer.KindTable, "routes")
	wantErrorType(t, err, storer.NotFound)
	object.Spec = []byte(`"` + string(bytes.Repeat([]byte("x"), emulator.MaximumValueBytes)) + `"`)
	_, err = client.Create(ctx, object)
	wantErrorType(t, err, storer.Invalid)
	if counts := platform.Counts(); counts.Effects != 3 || counts.Conflicts != 3 || counts.Reads != 1 {
		t.Errorf("counts %+v", counts)
	}
}

// TestLostAnswers tests that a write whose answer is lost fails with Uncertain,
// and a call that the platform does not process with Unavailable.
func TestLostAnswers(t *testing.T) {
	platform, client := newClient(t)
	ctx := context.Background()
	object := storer.Object{Kind: storer.KindLease, Name: "l", Spec: []byte(`{}`)}
	platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 1})
	_, err := client.Create(ctx, object)
	wantErrorType(t, err, storer.Uncertain)
	if _, err := client.Get(ctx, storer.KindLease, "l"); err != nil {
		t.Errorf("the write took no effect: %v", err)
	}
	platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownRefusing})
	_, err = client.Get(ctx, storer.KindLease, "l")
	wantErrorType(t, err, storer.Unavailable)
}

// TestWatch tests that a watch starts from a list, returns changes in order and
// bookmarks, and expires when the platform no longer keeps its version.
func TestWatch(t *testing.T) {
	platform, client := newClient(t)
	ctx := context.Background()
	platform.Put("tables", "routes", []byte(`{"a":1}`))
	listing, err := client.List(ctx, storer.KindTable)
	if err != nil || len(listing.Objects) != 1 {
		t.Fatalf("got %+v, %v", listing, err)
	}
	watch, err := client.Watch(ctx, storer.KindTable, listing.Version)
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	platform.Put("tables", "routes", []byte(`{"a":2}`))
	platform.Put("leases", "other", []byte(`{}`))
	platform.Remove("tables", "routes")
	for _, change := range []storer.Change{storer.Modified, storer.Deleted, storer.Bookmark} {
		event, err := watch.Next()
		if err != nil || event.Change != change {
			t.Fatalf("got %+v, %v, want %s", event, err, change)
		}
	}
	platform.SetFaults(emulator.PlatformFaults{Watches: emulator.WatchesExpire})
	_, err = watch.Next()
	wantErrorType(t, err, storer.Expired)
}

// TestLargeAnswersAreCompressed tests that a list is transferred compressed.
func TestLargeAnswersAreCompressed(t *testing.T) {
	platform := emulator.NewPlatform()
	text := bytes.Repeat([]byte("account "), 50_000)
	platform.Put("tables", "routes", []byte(`"`+string(text)+`"`))
	var sent int
	client := storer.NewClient(storer.ClientOptions{
		URL: "http://platform", CallTimeout: 5 * time.Second,
		Transport: transport(func(r *http.Request) (*http.Response, error) {
			recorder := httptest.NewRecorder()
			platform.ServeHTTP(recorder, r)
			sent = recorder.Body.Len()
			return recorder.Result(), nil
		}),
	})
	listing, err := client.List(context.Background(), storer.KindTable)
	if err != nil || len(listing.Objects[0].Spec) != len(text)+2 {
		t.Fatalf("got %d objects, %v", len(listing.Objects), err)
	}
	if sent > len(text)/4 {
		t.Errorf("%d bytes sent for %d", sent, len(text))
	}
}

type transport func(*http.Request) (*http.Response, error)

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// TestStatusThatConfirmsNothing guards against a write that counts as done though the answer's
// status is no success, also if the status refers to another call that succeeds.
func TestStatusThatConfirmsNothing(t *testing.T) {
	for _, status := range []int{http.StatusMultipleChoices, http.StatusFound, http.StatusSeeOther, http.StatusNotModified, http.StatusTemporaryRedirect} {
		for _, location := range []string{"", "/elsewhere"} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/elsewhere" {
					return
				}
				if location != "" {
					w.Header().Set("Location", location)
				}
				w.WriteHeader(status)
			}))
			client := storer.NewClient(storer.ClientOptions{URL: server.URL, Transport: server.Client().Transport, CallTimeout: 5 * time.Second})
			wantErrorType(t, client.Delete(t.Context(), storer.Object{Kind: storer.KindTable, Name: "routes", Version: "1"}), storer.Uncertain)
			server.Close()
		}
	}
}
