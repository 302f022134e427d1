package emulator

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform.
const (
	// platformPath is the root of the object API.
	platformPath = "/apis/foxtailspool.example/v1/"
	// MaximumValueBytes is the maximum size of an object in a write.
	MaximumValueBytes = 1 << 20
	// historyEvents is how many past changes a watch can start from.
	historyEvents = 1024
	// bookmarkInterval is the time between bookmarks on a watch.
	bookmarkInterval = time.Second
)

// Platform is a fake of the platform's object API. It is an HTTP handler.
type Platform struct {
	mutex sync.Mutex
	state platformState
	// frozen is the snapshot that reads use while faults.Stale is set.
	frozen *platformState
	// history holds the latest changes, oldest first; compacted is the
	// revision of the latest change that is no longer in it.
	history   []platformEvent
	compacted uint64
	// changed is closed and replaced whenever history or faults change.
	changed chan struct{}
	faults  PlatformFaults
	counts  PlatformCounts
	// calls tracks running calls, also those whose client has disconnected.
	calls sync.WaitGroup
}

// platformState is what a backup of the platform holds.
type platformState struct {
	// revision is the version of the latest change; it only grows.
	revision uint64
	objects  map[string]map[string]PlatformObject
}

// PlatformObject is an object as the platform keeps it.
type PlatformObject struct {
	APIVersion string           `json:"apiVersion,omitempty"`
	Kind       string           `json:"kind,omitempty"`
	Metadata   PlatformMetadata `json:"metadata"`
	Spec       json.RawMessage  `json:"spec,omitempty"`
	Status     json.RawMessage  `json:"status,omitempty"`
}

// PlatformMetadata names an object and its version.
type PlatformMetadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type platformEvent struct {
	revision uint64
	kind     string
	// skipped events are not sent by any watch.
	skipped bool
	Type    string         `json:"type"`
	Object  PlatformObject `json:"object"`
}

// PlatformCounts counts the calls that the platform received.
type PlatformCounts struct {
	// Writes and Reads count calls, refused ones included. A list is a read.
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
	// Watches counts all watches opened, Waiting those now open.
	Watches int `json:"watches"`
	Waiting int `json:"waiting"`
	// Effects counts the writes that changed an object.
	Effects int `json:"effects"`
	// Conflicts counts the writes refused for their version or an existing name.
	Conflicts int `json:"conflicts"`
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		state:   platformState{objects: map[string]map[string]PlatformObject{}},
		changed: make(chan struct{}),
	}
}

// Counts returns the current counts.
func (p *Platform) Counts() PlatformCounts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// Object returns the stored object, regardless of faults.
func (p *Platform) Object(kind, name string) (PlatformObject, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	object, ok := p.state.objects[kind][name]
	return object, ok
}

// Put stores a spec unconditionally, like an operator's edit outside this API. It is
// not counted as a call. An existing object keeps its status.
func (p *Platform) Put(kind, name string, spec []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	object, exists := p.state.objects[kind][name]
	object.Kind, object.Metadata.Name, object.Spec = kind, name, slices.Clone(spec)
	p.store(kind, object, exists)
}

// Remove deletes an object unconditionally. It is not counted as a call.
func (p *Platform) Remove(kind, name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if object, ok := p.state.objects[kind][name]; ok {
		p.remove(kind, object)
	}
}

// PlatformBackup is a snapshot of the platform's whole state.
type PlatformBackup struct{ state platformState }

// Backup returns a snapshot of the current state.
func (p *Platform) Backup() PlatformBackup {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return PlatformBackup{p.state.clone()}
}

// Restore restores a snapshot, revision included. Watches at another revision expire.
func (p *Platform) Restore(backup PlatformBackup) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = backup.state.clone()
	p.history, p.compacted = nil, p.state.revision
	p.notify()
}

func (s platformState) clone() platformState {
	objects := make(map[string]map[string]PlatformObject, len(s.objects))
	for kind, named := range s.objects {
		objects[kind] = make(map[string]PlatformObject, len(named))
		for name, object := range named {
			objects[kind][name] = object
		}
	}
	return platformState{revision: s.revision, objects: objects}
}

// Wait blocks until no call is running. A call continues after its client has
// disconnected, so tests call Wait after they have closed their server.
func (p *Platform) Wait() { p.calls.Wait() }

// ServeHTTP serves the object API, /faults and /counts.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	defer p.calls.Done()
	switch {
	case r.URL.Path == "/faults":
		p.serveFaults(w, r)
	case r.URL.Path == "/counts":
		writeJSON(w, http.StatusOK, p.Counts())
	case strings.HasPrefix(r.URL.Path, platformPath):
		p.serveObjects(w, r)
	default:
		writeStatus(w, http.StatusNotFound)
	}
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platformPath), "/")
	watching := r.URL.Query().Get("watch")
	switch {
	case watching == "1" || watching == "true":
		p.watch(w, r, kind)
	case r.Method == http.MethodGet:
		p.read(w, r, kind, name)
	default:
		p.write(w, r, kind, name)
	}
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	p.count(func(c *PlatformCounts) { c.Reads++ })
	if !p.admit(w, r) {
		return
	}
	p.mutex.Lock()
	state := p.state
	if p.frozen != nil {
		state = *p.frozen
	}
	object, found := state.objects[kind][name]
	list := platformList{Metadata: PlatformMetadata{ResourceVersion: version(state.revision)}, Items: []PlatformObject{}}
	if name == "" {
		for _, item := range state.objects[kind] {
			list.Items = append(list.Items, item)
		}
	}
	p.mutex.Unlock()
	switch {
	case name == "":
		slices.SortFunc(list.Items, func(a, b PlatformObject) int {
			return strings.Compare(a.Metadata.Name, b.Metadata.Name)
		})
		writeRead(w, r, list)
	case !found:
		writeStatus(w, http.StatusNotFound)
	default:
		writeRead(w, r, object)
	}
}

// writeRead answers a read, with gzip if it is large and the client accepts it.
func writeRead(w http.ResponseWriter, r *http.Request, value any) {
	const minimumGzipBytes = 128 << 10
	encoded, err := json.Marshal(value)
	if err != nil {
		writeStatus(w, http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(encoded) < minimumGzipBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(encoded)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	packer := gzip.NewWriter(w)
	_, _ = packer.Write(encoded)
	_ = packer.Close()
}

type platformList struct {
	Metadata PlatformMetadata `json:"metadata"`
	Items    []PlatformObject `json:"items"`
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	p.count(func(c *PlatformCounts) { c.Writes++ })
	body, err := io.ReadAll(io.LimitReader(r.Body, MaximumValueBytes+1))
	if err != nil {
		writeStatus(w, http.StatusBadRequest)
		return
	}
	if !p.admit(w, r) {
		return
	}
	status, object := p.applyWrite(r, kind, name, body)
	if status < http.StatusBadRequest {
		p.applyAnswerFaults(r)
	}
	if status != http.StatusOK && status != http.StatusCreated {
		writeStatus(w, status)
		return
	}
	writeJSON(w, status, object)
}

// applyWrite applies a write, even if the client has disconnected: a real platform
// does not notice that either.
func (p *Platform) applyWrite(r *http.Request, kind, name string, body []byte) (int, PlatformObject) {
	if len(body) > MaximumValueBytes {
		return http.StatusRequestEntityTooLarge, PlatformObject{}
	}
	var object PlatformObject
	if r.Method != http.MethodDelete && json.Unmarshal(body, &object) != nil {
		return http.StatusBadRequest, object
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch r.Method {
	case http.MethodPost:
		return p.create(kind, object)
	case http.MethodPut:
		object.Metadata.Name = name
		return p.update(kind, object)
	case http.MethodDelete:
		return p.delete(kind, name, r.URL.Query().Get("resourceVersion"))
	default:
		return http.StatusMethodNotAllowed, object
	}
}

func (p *Platform) create(kind string, object PlatformObject) (int, PlatformObject) {
	if object.Metadata.Name == "" {
		return http.StatusUnprocessableEntity, object
	}
	if _, taken := p.state.objects[kind][object.Metadata.Name]; taken {
		p.counts.Conflicts++
		return http.StatusConflict, object
	}
	p.counts.Effects++
	return http.StatusCreated, p.store(kind, object, false)
}

func (p *Platform) update(kind string, object PlatformObject) (int, PlatformObject) {
	stored, ok := p.state.objects[kind][object.Metadata.Name]
	switch {
	case !ok:
		return http.StatusNotFound, object
	case object.Metadata.ResourceVersion == "":
		return http.StatusUnprocessableEntity, object
	case object.Metadata.ResourceVersion != stored.Metadata.ResourceVersion:
		p.counts.Conflicts++
		return http.StatusConflict, object
	}
	p.counts.Effects++
	return http.StatusOK, p.store(kind, object, true)
}

func (p *Platform) delete(kind, name, expected string) (int, PlatformObject) {
	stored, ok := p.state.objects[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, stored
	case expected != "" && expected != stored.Metadata.ResourceVersion:
		p.counts.Conflicts++
		return http.StatusConflict, stored
	}
	p.counts.Effects++
	p.remove(kind, stored)
	return http.StatusOK, stored
}

func (p *Platform) store(kind string, object PlatformObject, exists bool) PlatformObject {
	p.state.revision++
	object.Metadata.ResourceVersion = version(p.state.revision)
	if p.state.objects[kind] == nil {
		p.state.objects[kind] = map[string]PlatformObject{}
	}
	p.state.objects[kind][object.Metadata.Name] = object
	change := "ADDED"
	if exists {
		change = "MODIFIED"
	}
	p.record(platformEvent{kind: kind, Type: change, Object: object})
	return object
}

func (p *Platform) remove(kind string, object PlatformObject) {
	delete(p.state.objects[kind], object.Metadata.Name)
	p.state.revision++
	object.Metadata.ResourceVersion = version(p.state.revision)
	p.record(platformEvent{kind: kind, Type: "DELETED", Object: object})
}

func (p *Platform) record(event platformEvent) {
	event.revision = p.state.revision
	if p.faults.SkipEvents > 0 {
		p.faults.SkipEvents--
		event.skipped = true
	}
	p.history = append(p.history, event)
	if over := len(p.history) - historyEvents; over > 0 {
		p.compacted = p.history[over-1].revision
		p.history = slices.Delete(p.history, 0, over)
	}
	p.notify()
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) count(add func(*PlatformCounts)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	add(&p.counts)
}

func version(revision uint64) string {
	return strconv.FormatUint(revision, 10)
}

func writeStatus(w http.ResponseWriter, status int) {
	writeJSON(w, status, struct {
		Kind    string `json:"kind"`
		Status  string `json:"status"`
		Message string `json:"message"`
		Code    int    `json:"code"`
	}{"Status", "Failure", http.StatusText(status), status})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
