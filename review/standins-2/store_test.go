package standins

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A store stands in for the platform's metadata store: objects by kind and name, one revision
// counter, and answers that are linearizable and never late.
type store struct {
	address string
	mutex   sync.Mutex
	// revision is that of the last change.
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

type metadata struct {
	Name           string `json:"name"`
	Revision       int64  `json:"revision,omitempty"`
	CreateRevision int64  `json:"createRevision,omitempty"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func startStore(address string) (*store, error) {
	s := &store{address: address, revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put creates or replaces an object, as the operator and the engines do.
func (s *store) put(kind, name string, spec any) {
	encoded, _ := json.Marshal(spec)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeLocked(kind, name, encoded)
}

func (s *store) storeLocked(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	held, exists := s.objects[kind][name]
	if exists && string(held.Spec) == string(spec) {
		return held
	}
	s.revision++
	next := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: s.revision}, Spec: spec, Status: held.Status}
	if exists {
		next.Metadata.CreateRevision = held.Metadata.CreateRevision
	}
	s.objects[kind][name] = next
	s.recordLocked(event{kind: kind, Object: next})
	return next
}

func (s *store) remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	held, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	held.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.recordLocked(event{kind: kind, Object: held, Deleted: true})
}

func (s *store) recordLocked(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeLater removes the entry of a server that is gone, after three heartbeats of silence.
func (s *store) removeLater(id string, after time.Duration) {
	time.AfterFunc(after, func() { s.remove("servers", id) })
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		answer(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, kind, name)
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.write(w, r, kind, name)
	default:
		answer(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	if watch := r.URL.Query().Get("watch"); watch != "" {
		s.watch(w, r, kind, watch)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name != "" {
		held, exists := s.objects[kind][name]
		if !exists {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, held)
		return
	}
	items := []object{}
	for _, held := range s.objects[kind] {
		if held.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, held)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from string) {
	after, _ := strconv.ParseInt(from, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
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
		case <-limit:
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, held)
	case r.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, nil)
	case r.Method != http.MethodPost && expected != 0 && expected != held.Metadata.Revision:
		answer(w, http.StatusConflict, held)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, name)
		answer(w, http.StatusOK, nil)
	case isStatus:
		held.Status = sent.Status
		s.revision++
		held.Metadata.Revision = s.revision
		s.objects[kind][name] = held
		s.recordLocked(event{kind: kind, Object: held})
		answer(w, http.StatusOK, held)
	default:
		answer(w, http.StatusOK, s.storeLocked(kind, name, sent.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	content := []byte("{}")
	if body != nil {
		content, _ = json.Marshal(body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
