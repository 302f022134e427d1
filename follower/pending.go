package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

const (
	// contentRate is the rate, in bytes per second, that a content must reach: most of that
	// of a link of 10 Mbit/s.
	contentRate = 1 << 20
	// busyPause is how long a node waits, up to twice as long, before it asks again.
	busyPause = 25 * time.Millisecond
)

// pendingCopy is a collection that other nodes have announced, some of whose contents this
// node does not have yet. The follower's mutex guards confirmedAt and sources.
type pendingCopy struct {
	// collection has references; it is not changed.
	collection *rpc.Collection
	// since is when this node first lacked contents of the kind.
	since time.Time
	// confirmedAt is when the collection was last known to be the latest.
	confirmedAt time.Time
	// sources are nodes that may have the contents.
	sources []identifier.Node
}

// receiveCollection applies a collection from another node, or requests the contents that it
// lacks.
func (f *Follower) receiveCollection(now time.Time, collection *rpc.Collection, source identifier.Node) {
	if f.resolveReferences(collection, nil) {
		f.applyCollection(now, collection)
		return
	}
	confirmedAt := now.Add(-ageOf(collection))
	f.want(storer.Kind(collection.GetKind()), collection, confirmedAt, source)
}

// resolveReferences sets the contents that this node or contents, by name, has. It reports
// whether none is missing.
func (f *Follower) resolveReferences(collection *rpc.Collection, contents map[string][]byte) bool {
	complete := true
	for _, object := range collection.GetObjects() {
		if object.GetContentBytes() == 0 {
			continue
		}
		spec, known := contents[object.GetName()]
		if !known {
			spec = f.findContent(listedKind(storer.Kind(collection.GetKind())), object.GetName(), storer.Version(object.GetVersion()))
		}
		if spec == nil {
			complete = false
			continue
		}
		object.Spec, object.ContentBytes = spec, 0
	}
	return complete
}

// want records a collection whose contents are to be requested.
func (f *Follower) want(kind storer.Kind, collection *rpc.Collection, confirmedAt time.Time, source identifier.Node) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.pending[kind]
	switch {
	case known != nil && known.collection.GetDigest() == collection.GetDigest():
		if confirmedAt.After(known.confirmedAt) {
			known.confirmedAt = confirmedAt
		}
		if !slices.Contains(known.sources, source) {
			known.sources = append(known.sources, source)
		}
	case known != nil && f.options.Compare(storer.Version(collection.GetVersion()), storer.Version(known.collection.GetVersion())) < 0:
		return
	default:
		next := &pendingCopy{collection: collection, since: time.Now(), confirmedAt: confirmedAt, sources: []identifier.Node{source}}
		if known != nil {
			next.since = known.since
		}
		f.pending[kind] = next
	}
	select {
	case f.wanted <- struct{}{}:
	default:
	}
}

// runContents requests the contents of pending copies until ctx ends.
func (f *Follower) runContents(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wanted:
		}
		for _, kind := range f.options.Kinds {
			for ctx.Err() == nil && f.completePending(ctx, kind) {
			}
			for ctx.Err() == nil && f.completePending(ctx, storer.Kind(retainedKind(kind))) {
			}
		}
	}
}

// completePending requests the contents of a kind's pending copy and applies it. It reports
// whether another may be pending.
func (f *Follower) completePending(ctx context.Context, kind storer.Kind) bool {
	pending := f.currentPending(kind)
	if pending == nil {
		return false
	}
	contents := map[string][]byte{}
	for _, object := range pending.collection.GetObjects() {
		if object.GetContentBytes() == 0 || f.findContent(listedKind(kind), object.GetName(), storer.Version(object.GetVersion())) != nil {
			continue
		}
		content := f.fetchContent(ctx, kind, pending, object)
		if content == nil {
			return f.currentPending(kind) != pending
		}
		contents[object.GetName()] = content
	}
	f.applyPending(kind, pending, contents)
	return true
}

// applyPending applies a pending copy with its contents.
func (f *Follower) applyPending(kind storer.Kind, pending *pendingCopy, contents map[string][]byte) {
	f.mutex.Lock()
	confirmedAt := pending.confirmedAt
	f.mutex.Unlock()
	collection := cloneCollection(pending.collection)
	if f.resolveReferences(collection, contents) {
		f.applyComplete(kind, collection, confirmedAt)
		f.options.Log.Log(eventContentReceived, logger.Fields{
			"kind": kind, fieldVersion: collection.GetVersion(), "wait-ms": time.Since(pending.since).Milliseconds(),
		})
	}
	f.dropPending(kind, pending)
}

// applyComplete applies a collection, or retained objects, without references.
func (f *Follower) applyComplete(kind storer.Kind, collection *rpc.Collection, confirmedAt time.Time) {
	if listed := listedKind(kind); listed != kind {
		f.applyRetained(listed, collection)
		return
	}
	f.applyConfirmed(kind, collection, confirmedAt)
}

// cloneCollection copies a collection and its objects; they share their contents.
func cloneCollection(collection *rpc.Collection) *rpc.Collection {
	clone := &rpc.Collection{
		Kind: collection.GetKind(), Version: collection.GetVersion(), AgeMilliseconds: collection.GetAgeMilliseconds(),
		Changed: collection.GetChanged(), Digest: collection.GetDigest(), Base: collection.GetBase(), Removed: collection.GetRemoved(),
	}
	for _, object := range collection.GetObjects() {
		clone.Objects = append(clone.Objects, &rpc.Object{
			Name: object.GetName(), Version: object.GetVersion(), Spec: object.GetSpec(), Status: object.GetStatus(), ContentBytes: object.GetContentBytes(),
		})
	}
	return clone
}

// currentPending returns the pending copy of a kind, or nil if there is none, this node's copy
// is as late, or retained objects have been pending for so long that the listing holds.
func (f *Follower) currentPending(kind storer.Kind) *pendingCopy {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pending := f.pending[kind]
	if pending == nil {
		return nil
	}
	if listedKind(kind) != kind {
		if time.Since(pending.since) < f.options.LapseTime {
			return pending
		}
		delete(f.pending, kind)
		return nil
	}
	current := f.copies[kind]
	if current.loaded && f.options.Compare(current.listing.Version, storer.Version(pending.collection.GetVersion())) >= 0 {
		delete(f.pending, kind)
		return nil
	}
	return pending
}

func (f *Follower) dropPending(kind storer.Kind, pending *pendingCopy) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.pending[kind] == pending {
		delete(f.pending, kind)
	}
}

// fetchContent requests one content from the sources until one sends it. It returns nil if
// no source is left, which drops the pending copy, or if the copy has become obsolete.
func (f *Follower) fetchContent(ctx context.Context, kind storer.Kind, pending *pendingCopy, object *rpc.Object) []byte {
	for ctx.Err() == nil && f.currentPending(kind) == pending {
		source, found := f.drawSource(pending)
		if !found {
			f.dropPending(kind, pending)
			return nil
		}
		response, err := f.requestContent(ctx, kind, source, object)
		if err == nil && response.GetBusy() {
			f.addSources(pending, response.GetHolders())
			pause(ctx, busyPause+rand.N(busyPause))
			continue
		}
		if err == nil && len(response.GetCompressed()) > 0 {
			var content []byte
			if content, err = f.decodeResponse(kind, object, response); err == nil {
				return content
			}
		}
		if err != nil && ctx.Err() == nil {
			f.options.Log.Log(eventContentFailed, logger.Fields{"peer": source.Node, "kind": kind, fieldVersion: object.GetVersion(), "error": err.Error()})
		}
		f.removeSource(pending, source.Node)
	}
	return nil
}

// decodeResponse returns the content of a response. It fails if this node no longer has the
// base, which the next request then does not name.
func (f *Follower) decodeResponse(kind storer.Kind, object *rpc.Object, response *rpc.ContentResponse) ([]byte, error) {
	f.receivedBytes.Inc(int64(len(response.GetCompressed())))
	var base []byte
	if response.GetFromBase() {
		base = f.findContent(listedKind(kind), object.GetName(), storer.Version(response.GetBaseVersion()))
	}
	content, err := decodeContent(response.GetCompressed(), base)
	if err != nil {
		return nil, err
	}
	if len(content) != int(object.GetContentBytes()) {
		return nil, errContent.New("%d bytes, want %d", len(content), object.GetContentBytes())
	}
	return content, nil
}

func (f *Follower) requestContent(ctx context.Context, kind storer.Kind, source assigner.Member, object *rpc.Object) (*rpc.ContentResponse, error) {
	timeout := f.options.Timeout + sendSlotWait + identifier.BoundedDuration(float64(object.GetContentBytes())/contentRate, time.Second)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	kind = listedKind(kind)
	request := &rpc.ContentRequest{Kind: string(kind), Name: object.GetName(), Version: object.GetVersion(), Node: string(f.options.Self)}
	f.mutex.Lock()
	if held, found := findObject(f.copies[kind].listing.Objects, object.GetName()); found && len(held.Spec) > 0 {
		request.BaseVersion = string(held.Version)
	}
	f.mutex.Unlock()
	client := rpc.NewFollowerProtobufClient("http://"+string(source.PeerAddress), &http.Client{Transport: f.options.PeerTransport})
	return client.Content(ctx, request)
}

// drawSource returns a random source that the view lists.
func (f *Follower) drawSource(pending *pendingCopy) (assigner.Member, bool) {
	view := f.options.View()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, at := range rand.Perm(len(pending.sources)) {
		if member, found := view.Find(pending.sources[at]); found && member.Node != f.options.Self {
			return member, true
		}
	}
	return assigner.Member{}, false
}

func (f *Follower) addSources(pending *pendingCopy, nodes []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, name := range nodes {
		if node := identifier.Node(name); !slices.Contains(pending.sources, node) {
			pending.sources = append(pending.sources, node)
		}
	}
}

func (f *Follower) removeSource(pending *pendingCopy, node identifier.Node) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pending.sources = slices.DeleteFunc(pending.sources, func(n identifier.Node) bool { return n == node })
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// knownAge returns how long ago this node knew which version is the latest, although it may
// not have its contents yet. For contents that take StaleAfter to arrive it is the age of the
// copy. The caller must hold the mutex.
func (f *Follower) knownAge(kind storer.Kind, now time.Time) time.Duration {
	age := f.copies[kind].age(now)
	pending := f.pending[kind]
	if pending == nil || !f.copies[kind].loaded || now.Sub(pending.since) >= f.options.StaleAfter {
		return age
	}
	return min(age, now.Sub(pending.confirmedAt))
}

// awaitPending waits until a pending copy has been applied or ctx ends. It returns false at once
// if none is pending.
func (f *Follower) awaitPending(ctx context.Context) bool {
	for _, kind := range f.options.Kinds {
		f.mutex.Lock()
		updated := f.updated
		f.mutex.Unlock()
		if f.currentPending(kind) == nil {
			continue
		}
		select {
		case <-updated:
		case <-ctx.Done():
		}
		return true
	}
	return false
}
