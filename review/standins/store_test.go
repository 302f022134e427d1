package standins

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as PROTOCOL.md and LETTERS.md
// describe it: objects by kind and name, one revision counter, conditional writes, watches.
type store struct {
	mutex    sync.Mutex
	revision int64
	era      int64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
	// delay is how long each answer takes.
	delay time.Duration
	// fault may answer a call in the store's place; it returns true if it did.
	fault func(w http.ResponseWriter, r *http.Request) bool
	// onWrite is called after each accepted write.
	onWrite func(method, kind, name string, body []byte)
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
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 100, era: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{}), delay: 4 * time.Millisecond}
}

// put writes an object as the operator or an engine does.
func (s *store) put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(kind, name, content)
}

func (s *store) set(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreateRevision: s.revision, Finalizers: []string{}}}
		s.objects[kind][name] = o
	}
	o.Metadata.Revision = s.revision
	o.Spec = spec
	s.note(event{kind: kind, revision: s.revision, Object: *o})
	return o
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.revision++
		delete(s.objects[kind], name)
		s.note(event{kind: kind, revision: s.revision, Object: *o, Deleted: true})
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.delay)
	if s.fault != nil && s.fault(w, r) {
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status, answer := s.write(r, kind, name, body)
	if status < 300 && s.onWrite != nil {
		s.onWrite(r.Method, kind, name, body)
	}
	s.answer(w, status, answer)
}

func (s *store) answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	if value != nil {
		_ = json.NewEncoder(w).Encode(value)
	}
}

func (s *store) write(r *http.Request, kind, name string, body []byte) (int, any) {
	var o object
	if len(body) > 0 && json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	held := s.objects[kind][name]
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && held != nil:
		return http.StatusConflict, held
	case r.Method == http.MethodPost:
		return http.StatusCreated, *s.set(kind, name, o.Spec)
	case held == nil:
		return http.StatusNotFound, nil
	case expected != 0 && expected != held.Metadata.Revision:
		return http.StatusConflict, held
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.note(event{kind: kind, revision: s.revision, Object: *held, Deleted: true})
		return http.StatusOK, nil
	case string(held.Spec) == string(o.Spec):
		return http.StatusOK, *held
	default:
		return http.StatusOK, *s.set(kind, name, o.Spec)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			s.answer(w, http.StatusOK, *o)
			return
		}
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	if text := query.Get("watch"); text != "" {
		since, _ := strconv.ParseInt(text, 10, 64)
		waitMs, _ := strconv.Atoi(query.Get("waitMs"))
		s.watch(w, kind, since, time.Duration(min(waitMs, 30000))*time.Millisecond)
		return
	}
	names := []string{}
	for n := range s.objects[kind] {
		if n > query.Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	items := []object{}
	for _, n := range names[:min(len(names), 500)] {
		items = append(items, *s.objects[kind][n])
	}
	s.answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, kind string, since int64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if since > s.revision {
			s.answer(w, http.StatusGone, nil)
			return
		}
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		changed := s.changed
		if len(found) == 0 {
			s.mutex.Unlock()
			ended := false
			select {
			case <-changed:
			case <-deadline.C:
				ended = true
			}
			s.mutex.Lock()
			if !ended {
				continue
			}
		}
		s.answer(w, http.StatusOK, map[string]any{"events": found, "currentRev": s.revision})
		return
	}
}
