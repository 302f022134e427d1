package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"): objects by kind and name, one revision counter, conditional writes, and watches.
type store struct {
	mutex    sync.Mutex
	kinds    map[string]map[string]*object
	revision int64
	events   []storeEvent
	changed  chan struct{}
	// hook, if set, is called for each call before it is carried out.
	hook func(r *http.Request)
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{kinds: map[string]map[string]*object{}, revision: 1, changed: make(chan struct{})}
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(kind, &object{Metadata: metadata{Name: name}, Spec: encoded})
}

func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.kinds[kind][name]
	if held == nil {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.announce(storeEvent{kind: kind, Object: *held, Deleted: true})
}

func (s *store) set(kind string, o *object) {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	if held := s.kinds[kind][o.Metadata.Name]; held != nil {
		o.Metadata.CreateRevision = held.Metadata.CreateRevision
	} else {
		o.Metadata.CreateRevision = s.revision
	}
	o.Metadata.Revision = s.revision
	s.kinds[kind][o.Metadata.Name] = o
	s.announce(storeEvent{kind: kind, Object: *o})
}

func (s *store) announce(e storeEvent) {
	e.Object.Metadata.Revision = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.hook != nil {
		s.hook(r)
	}
	time.Sleep(4 * time.Millisecond)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		held := s.kinds[kind][name]
		s.mutex.Unlock()
		if held == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, held)
	default:
		s.write(w, r, kind, name, len(parts) > 2 && parts[2] == "status")
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, size, more := []*object{}, 0, false
	for _, name := range names {
		if len(items) == pageItems || size >= pageBytes {
			more = true
			break
		}
		items = append(items, s.kinds[kind][name])
		size += len(s.kinds[kind][name].Spec)
	}
	revision := s.revision
	s.mutex.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && held != nil:
		answer(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && held == nil:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method != http.MethodPost && expected != 0 && expected != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		s.announce(storeEvent{kind: kind, Object: *held, Deleted: true})
		answer(w, http.StatusOK, held)
	default:
		next := &object{Metadata: metadata{Name: name}, Spec: sent.Spec}
		if held != nil && status {
			next.Spec, next.Status = held.Spec, sent.Status
		} else if held != nil {
			next.Status = held.Status
		}
		s.set(kind, next)
		answer(w, http.StatusOK, next)
	}
}
