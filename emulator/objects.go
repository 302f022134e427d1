package emulator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Objects is a fake of the object store of the users' platform: objects by kind and
// name, with conditional updates, pagination, long-poll watches and a history that
// can be compacted. All kinds share one revision counter.
type Objects struct {
	// PageSize is the maximum number of items in one list answer.
	PageSize int

	mutex sync.Mutex
	// kinds holds the objects by kind and name; revision is that of the latest change.
	kinds    map[string]map[string]storedObject
	revision int64
	// era counts the restores; the answer's header eraHeader has it.
	era int64
	// history holds the events after revision forgotten, oldest first.
	history   []objectEvent
	forgotten int64
	// changed is closed and replaced on each change.
	changed chan struct{}
	faults  ObjectFaults
	// refused holds the faults towards single callers, by host or host:port.
	refused map[string]ObjectFaults
	counts  ObjectCounts
}

// ObjectFaults configures fault injection, for all callers or one host.
type ObjectFaults struct {
	// Status, unless zero, is the answer to every call, which has no effect.
	Status int
	// Silent leaves every call unanswered until the client gives up.
	Silent bool
	// Reset aborts the connection of every call.
	Reset bool
	// Delay is waited before each call takes effect.
	Delay time.Duration
	// LoseAnswers is how many of the next writes take effect but abort the connection.
	LoseAnswers int
}

// ObjectCounts counts the calls received; Refused ones count in the other fields too.
type ObjectCounts struct {
	Reads, Writes, Watches, Refused int
}

type objectMetadata struct {
	Name           string   `json:"name"`
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	// raw, if not empty, is sent in place of the object. RawRevision in it stands for the
	// object's revision.
	raw string
}

// RawRevision stands for an object's revision in the text of PutRaw.
const RawRevision = "REVISION"

// placeholder is sent in place of a raw object until writeAnswer replaces it.
func (s storedObject) placeholder() string {
	return strconv.Quote("raw-object-" + strconv.FormatInt(s.Metadata.Revision, 10) + "-")
}

// MarshalJSON encodes the object, or a placeholder if it is raw.
func (s storedObject) MarshalJSON() ([]byte, error) {
	if s.raw != "" {
		return []byte(s.placeholder()), nil
	}
	type plain storedObject
	return json.Marshal(plain(s))
}

// writeAnswer writes value as JSON with the raw objects in it.
func writeAnswer(w http.ResponseWriter, status int, value any, objects ...storedObject) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // Objects can be written.
	}
	for _, object := range objects {
		if object.raw != "" {
			text := strings.ReplaceAll(object.raw, RawRevision, strconv.FormatInt(object.Metadata.Revision, 10))
			encoded = bytes.ReplaceAll(encoded, []byte(object.placeholder()), []byte(text))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) //nolint:gosec // JSON, not HTML.
}

type objectEvent struct {
	kind     string
	revision int64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

const (
	// objectsRoot is the path prefix of all kinds.
	objectsRoot = "/v1/objects/"
	// eraHeader names the answer's header with the number of restores, from 1 on.
	eraHeader = "Store-Era"
	// defaultPageSize is small so that tests read more than one page.
	defaultPageSize = 50
)

// NewObjects returns an empty store.
func NewObjects() *Objects {
	return &Objects{
		PageSize: defaultPageSize,
		kinds:    map[string]map[string]storedObject{},
		revision: 1,
		era:      1,
		changed:  make(chan struct{}),
		refused:  map[string]ObjectFaults{},
	}
}

// SetFaults sets the faults towards all callers.
func (o *Objects) SetFaults(faults ObjectFaults) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.faults = faults
}

// SetHostFaults sets the faults for one host in place of the general ones; zero removes them.
func (o *Objects) SetHostFaults(host string, faults ObjectFaults) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.refused[host] = faults
}

// Counts returns the current counts.
func (o *Objects) Counts() ObjectCounts {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.counts
}

// Put writes a spec unconditionally; it is not counted as a call.
func (o *Objects) Put(kind, name string, spec any) {
	encoded, raw := spec.(json.RawMessage)
	if !raw {
		var err error
		if encoded, err = json.Marshal(spec); err != nil {
			panic(err) // The specs of tests can be written.
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	held := o.kinds[kind][name]
	held.Metadata.Name = name
	held.Spec, held.raw = encoded, ""
	o.storeObject(kind, held)
}

// PutRaw is like Put for a whole object, which need not be valid JSON. RawRevision in it
// stands for its revision.
func (o *Objects) PutRaw(kind, name, raw string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	held := o.kinds[kind][name]
	held.Metadata.Name = name
	held.raw = raw
	o.storeObject(kind, held)
}

// Remove deletes an object unconditionally; it is not counted as a call.
func (o *Objects) Remove(kind, name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.removeObject(kind, name)
}

// Names returns the sorted names of the objects of a kind.
func (o *Objects) Names(kind string) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return sortedNames(o.kinds[kind])
}

// Forget drops the history: watches from an earlier revision end with 410 Gone.
func (o *Objects) Forget() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.history, o.forgotten = nil, o.revision
	o.signal()
}

// ObjectsBackup is a snapshot of the store's objects and its revision.
type ObjectsBackup struct {
	kinds    map[string]map[string]storedObject
	revision int64
}

// Backup returns a snapshot of the current state.
func (o *Objects) Backup() ObjectsBackup {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return ObjectsBackup{cloneKinds(o.kinds), o.revision}
}

// Restore restores a snapshot, revision included, and raises the era. Watches from any
// other revision end with 410 Gone.
func (o *Objects) Restore(backup ObjectsBackup) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.kinds, o.revision = cloneKinds(backup.kinds), backup.revision
	o.history, o.forgotten = nil, o.revision
	o.era++
	o.signal()
}

func cloneKinds(kinds map[string]map[string]storedObject) map[string]map[string]storedObject {
	cloned := make(map[string]map[string]storedObject, len(kinds))
	for kind, objects := range kinds {
		cloned[kind] = maps.Clone(objects)
	}
	return cloned
}

func sortedNames(objects map[string]storedObject) []string {
	names := make([]string, 0, len(objects))
	for name := range objects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (o *Objects) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *Objects) storeObject(kind string, object storedObject) storedObject {
	o.revision++
	if object.Metadata.CreateRevision == 0 {
		object.Metadata.CreateRevision = o.revision
	}
	object.Metadata.Revision = o.revision
	if o.kinds[kind] == nil {
		o.kinds[kind] = map[string]storedObject{}
	}
	o.kinds[kind][object.Metadata.Name] = object
	o.history = append(o.history, objectEvent{kind: kind, revision: o.revision, Object: object})
	o.signal()
	return object
}

func (o *Objects) removeObject(kind, name string) {
	object, known := o.kinds[kind][name]
	if !known {
		return
	}
	o.revision++
	delete(o.kinds[kind], name)
	o.history = append(o.history, objectEvent{kind: kind, revision: o.revision, Object: object, Deleted: true})
	o.signal()
}

// ServeHTTP answers one call.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsRoot), "/")
	faults := o.admit(r)
	switch {
	case faults.Silent:
		// The server detects a disconnect only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case faults.Reset:
		panic(http.ErrAbortHandler)
	case faults.Status != 0:
		o.mutex.Lock()
		o.setEra(w)
		o.mutex.Unlock()
		w.WriteHeader(faults.Status)
		return
	}
	if !pause(r.Context(), faults.Delay) {
		return
	}
	switch {
	case r.Method != http.MethodGet:
		o.write(w, r, kind, name)
	case r.URL.Query().Get("watch") != "":
		o.longPoll(w, r, kind)
	case name != "":
		o.get(w, kind, name)
	default:
		o.list(w, r, kind)
	}
}

// setEra sets an answer's header. The caller must hold the mutex, since it read what the
// answer says, so that both are of the same era.
func (o *Objects) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(o.era, 10))
}

// admit counts a call and returns the faults that apply to it.
func (o *Objects) admit(r *http.Request) ObjectFaults {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case r.Method != http.MethodGet:
		o.counts.Writes++
	case r.URL.Query().Get("watch") != "":
		o.counts.Watches++
	default:
		o.counts.Reads++
	}
	faults := o.faults
	if own, refused := o.refused[hostOf(r.RemoteAddr)]; refused && own != (ObjectFaults{}) {
		faults = own
	}
	if own, refused := o.refused[r.RemoteAddr]; refused && own != (ObjectFaults{}) {
		faults = own
	}
	if faults.Silent || faults.Reset || faults.Status != 0 {
		o.counts.Refused++
	}
	return faults
}

func (o *Objects) get(w http.ResponseWriter, kind, name string) {
	o.mutex.Lock()
	object, known := o.kinds[kind][name]
	o.setEra(w)
	o.mutex.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeAnswer(w, http.StatusOK, object, object)
}

func (o *Objects) list(w http.ResponseWriter, r *http.Request, kind string) {
	o.mutex.Lock()
	var page struct {
		Items      []storedObject `json:"items"`
		HasMore    bool           `json:"hasMore"`
		CurrentRev int64          `json:"currentRev"`
	}
	page.Items = []storedObject{}
	page.CurrentRev = o.revision
	o.setEra(w)
	for _, name := range sortedNames(o.kinds[kind]) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(page.Items) == o.PageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, o.kinds[kind][name])
	}
	o.mutex.Unlock()
	writeAnswer(w, http.StatusOK, page, page.Items...)
}

// longPoll answers a watch when there is an event or waitMs has passed.
func (o *Objects) longPoll(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ended := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer ended.Stop()
	for waiting := true; ; {
		o.mutex.Lock()
		revision, changed := o.revision, o.changed
		events, gone := o.eventsAfter(kind, after), after < o.forgotten || after > revision
		o.setEra(w)
		o.mutex.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			objects := make([]storedObject, 0, len(events))
			for _, event := range events {
				objects = append(objects, event.Object)
			}
			writeAnswer(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision}, objects...)
			return
		}
		select {
		case <-changed:
		case <-ended.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (o *Objects) eventsAfter(kind string, after int64) []objectEvent {
	events := []objectEvent{}
	for _, event := range o.history {
		if event.kind == kind && event.revision > after {
			events = append(events, event)
		}
	}
	return events
}

func (o *Objects) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var object storedObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if expected := r.URL.Query().Get("revision"); expected != "" {
		object.Metadata.Revision, _ = strconv.ParseInt(expected, 10, 64)
	}
	o.mutex.Lock()
	status, answer := o.applyWrite(r.Method, kind, name, object)
	o.setEra(w)
	lose := o.faults.LoseAnswers > 0
	if lose {
		o.faults.LoseAnswers--
	}
	o.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, status, answer, answer)
}

// applyWrite applies a write if its revision matches. The caller must hold the mutex.
func (o *Objects) applyWrite(method, kind, name string, object storedObject) (int, storedObject) {
	status := strings.HasSuffix(name, "/status")
	name = strings.TrimSuffix(name, "/status")
	if method == http.MethodPost {
		name = object.Metadata.Name
	}
	held, known := o.kinds[kind][name]
	expected := object.Metadata.Revision
	switch {
	case method == http.MethodPost && known:
		return http.StatusConflict, held
	case method != http.MethodPost && !known:
		return http.StatusNotFound, held
	case method != http.MethodPost && expected != 0 && expected != held.Metadata.Revision:
		return http.StatusConflict, held
	case method == http.MethodDelete:
		o.removeObject(kind, name)
		return http.StatusOK, held
	case status:
		held.Status = object.Status
	default:
		held.Metadata.Name = name
		held.Metadata.Finalizers = object.Metadata.Finalizers
		held.Spec, held.raw = object.Spec, ""
	}
	return http.StatusOK, o.storeObject(kind, held)
}
