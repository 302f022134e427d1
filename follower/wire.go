package follower

import (
	"context"
	"net/http"
	"strings"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// maxRequestBytes limits a peer's request, which lists versions and digests only.
const maxRequestBytes = 64 << 10

// Handler returns the path prefix and the handler of the protocol between peers.
func (f *Follower) Handler() (string, http.Handler) {
	server := rpc.NewFollowerServer(&peerServer{f})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		slot := &sendSlot{release: func() {}}
		defer func() { slot.release() }()
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), sendKey{}, slot)))
	})
	return server.PathPrefix(), bounded
}

type peerServer struct{ follower *Follower }

// Newer returns the changes that the calling node lacks. It waits for a change up to
// the requested hold time, but no longer than StaleAfter.
func (s *peerServer) Newer(ctx context.Context, request *rpc.NewerRequest) (*rpc.NewerResponse, error) {
	held := map[storer.Kind]*rpc.Held{}
	for _, h := range request.GetHeld() {
		held[storer.Kind(h.GetKind())] = h
	}
	hold := min(time.Duration(request.GetHoldMilliseconds())*time.Millisecond, s.follower.options.StaleAfter)
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		response, changed, updated := s.follower.changesSince(held)
		if !changed {
			select {
			case <-updated:
				continue
			case <-ctx.Done():
				response, _, _ = s.follower.changesSince(held)
			}
		}
		if request.GetAcceptsReferences() {
			replaceByReferences(response)
		}
		s.follower.sentBytes.Inc(objectBytes(response))
		return response, nil
	}
}

// changesSince returns the response to a node with the given versions, whether any copy
// is newer than those, and the channel that the next change closes.
func (f *Follower) changesSince(held map[storer.Kind]*rpc.Held) (*rpc.NewerResponse, bool, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	response := &rpc.NewerResponse{}
	changed := false
	now := time.Now()
	for _, kind := range f.options.Kinds {
		own := f.copies[kind]
		if !own.loaded {
			continue
		}
		collection := &rpc.Collection{
			Kind:            string(kind),
			Version:         string(own.listing.Version),
			AgeMilliseconds: uint64(own.age(now).Milliseconds()),
			Digest:          own.digest,
			Changed:         f.isNewer(own, held[kind]),
		}
		if collection.Changed {
			changed = true
			own.fillChanges(collection, held[kind])
		}
		response.Collections = append(response.Collections, collection)
		// What this node retains is sent with the answer and does not cause it: two
		// nodes may retain different objects for a while.
		if extra := f.retainedCollection(kind, own, held[kind], held[storer.Kind(retainedKind(kind))]); extra != nil {
			response.Collections = append(response.Collections, extra)
		}
	}
	return response, changed, f.updated
}

// fillChanges adds to a message the changes that another node lacks: the delta since
// its copy, or all objects if the history does not reach back that far.
func (c *localCopy) fillChanges(collection *rpc.Collection, theirs *rpc.Held) {
	if theirs != nil {
		if changes, known := c.history.mergedSince(theirs.GetDigest()); known {
			collection.Base = changes.baseDigest
			collection.Objects = toWire(changes.stored)
			collection.Removed = changes.removed
			return
		}
	}
	collection.Objects = toWire(c.listing.Objects)
}

// isNewer reports whether a copy is later than another node's and differs from it.
func (f *Follower) isNewer(own *localCopy, theirs *rpc.Held) bool {
	if theirs == nil {
		return true
	}
	return own.digest != theirs.GetDigest() && f.options.Compare(own.listing.Version, storer.Version(theirs.GetVersion())) > 0
}

func toWire(objects []storer.Object) []*rpc.Object {
	list := make([]*rpc.Object, 0, len(objects))
	for _, object := range objects {
		list = append(list, &rpc.Object{
			Name:    object.Name,
			Version: string(object.Version),
			Spec:    object.Spec,
			Status:  object.Status,
		})
	}
	return list
}

func fromWire(kind storer.Kind, objects []*rpc.Object) []storer.Object {
	list := make([]storer.Object, 0, len(objects))
	for _, object := range objects {
		list = append(list, storer.Object{
			Kind:    kind,
			Name:    object.GetName(),
			Version: storer.Version(object.GetVersion()),
			Spec:    object.GetSpec(),
			Status:  object.GetStatus(),
		})
	}
	return list
}

// objectBytes returns the size of the objects in a response.
func objectBytes(response *rpc.NewerResponse) int64 {
	total := int64(0)
	for _, collection := range response.GetCollections() {
		for _, object := range collection.GetObjects() {
			total += int64(len(object.GetSpec()) + len(object.GetStatus()))
		}
	}
	return total
}

// firstCopyExtraTime extends the timeout of a call while this node lacks a copy: a full
// long list takes that long on a slow link.
const firstCopyExtraTime = 2 * time.Second

// pollPeer requests newer copies from a node and applies them. The node may delay its
// answer by up to hold. A node that fails or whose copies are stale is avoided for a while.
// It reports whether the node answered.
func (f *Follower) pollPeer(parent context.Context, member assigner.Member, hold time.Duration) (ok bool) {
	defer f.recoverPanic(string(member.Node), &ok)
	timeout := hold + f.options.Timeout
	if f.copyMissing() {
		timeout += firstCopyExtraTime
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	client := rpc.NewFollowerProtobufClient("http://"+string(member.PeerAddress), &http.Client{Transport: f.options.PeerTransport})
	response, err := client.Newer(ctx, f.newerRequest(hold))
	if parent.Err() != nil {
		return false
	}
	if err != nil {
		f.options.Log.Log(eventPeerPollFailed, logger.Fields{"peer": member.Node, "error": err.Error(), "age-ms": f.CopyAge().Milliseconds()})
		f.setAvoided(member, true)
		return false
	}
	f.receivedBytes.Inc(objectBytes(response))
	now := time.Now()
	stale := len(response.GetCollections()) < len(f.options.Kinds)
	for _, collection := range response.GetCollections() {
		f.receiveCollection(now, collection, member.Node)
		stale = stale || ageOf(collection) >= f.options.StaleAfter
	}
	f.setAvoided(member, stale)
	return true
}

// newerRequest returns a request with the versions and digests of this node's copies.
func (f *Follower) newerRequest(hold time.Duration) *rpc.NewerRequest {
	request := &rpc.NewerRequest{HoldMilliseconds: uint32(hold.Milliseconds()), AcceptsReferences: true}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for kind, own := range f.copies {
		_, retainedDigest := f.retainedToSend(own)
		request.Held = append(request.Held, &rpc.Held{Kind: retainedKind(kind), Digest: retainedDigest})
		if !own.loaded {
			continue
		}
		digest := own.digest
		if own.needsFullList {
			digest = 0
		}
		request.Held = append(request.Held, &rpc.Held{Kind: string(kind), Version: string(own.listing.Version), Digest: digest})
	}
	return request
}

// applyCollection applies a delta, a full list or a confirmation from another node.
func (f *Follower) applyCollection(now time.Time, collection *rpc.Collection) {
	if kind, isRetained := strings.CutSuffix(collection.GetKind(), retainedSuffix); isRetained {
		f.applyRetained(storer.Kind(kind), collection)
		return
	}
	kind := storer.Kind(collection.GetKind())
	f.applyConfirmed(kind, collection, now.Add(-ageOf(collection)))
}

// applyConfirmed applies a collection that was the latest at confirmedAt.
func (f *Follower) applyConfirmed(kind storer.Kind, collection *rpc.Collection, confirmedAt time.Time) {
	listing := storer.Listing{Version: storer.Version(collection.GetVersion())}
	if collection.GetChanged() && collection.GetBase() != 0 {
		f.applyDelta(kind, collection, confirmedAt)
		return
	}
	if collection.GetChanged() {
		listing.Objects = fromWire(kind, collection.GetObjects())
		f.update(kind, listing, confirmedAt)
		return
	}
	f.confirm(kind, collection.GetDigest(), confirmedAt)
}

// applyDelta applies a peer's delta to the copy that it is based on. It ignores the
// delta if the copy has changed in the meantime. If the result does not match the
// peer's digest, the next request asks for the full list.
func (f *Follower) applyDelta(kind storer.Kind, collection *rpc.Collection, confirmedAt time.Time) {
	changes := delta{stored: fromWire(kind, collection.GetObjects()), removed: collection.GetRemoved()}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.copies[kind]
	if current == nil || !current.loaded || current.digest != collection.GetBase() {
		return
	}
	objects := changes.apply(current.listing.Objects)
	if objectsDigest(objects) != collection.GetDigest() {
		f.options.Log.Log(eventDigestMismatch, logger.Fields{"kind": kind, fieldVersion: collection.GetVersion()})
		current.needsFullList = true
		return
	}
	f.updateLocked(kind, current, storer.Listing{Version: storer.Version(collection.GetVersion()), Objects: objects}, confirmedAt)
}

// confirm records that the copy with this digest was the latest at confirmedAt.
func (f *Follower) confirm(kind storer.Kind, digest uint64, confirmedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.copies[kind]
	if current != nil && current.loaded && current.digest == digest && confirmedAt.After(current.confirmedAt) {
		current.confirmedAt = confirmedAt
	}
}

// ageOf returns how long ago a collection was read from the store. An age out of bounds would
// overflow to a negative one, with which the collection would never become stale.
func ageOf(collection *rpc.Collection) time.Duration {
	return identifier.BoundedDuration(float64(collection.GetAgeMilliseconds()), time.Millisecond)
}
