package follower

import (
	"context"
	"net/http"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
)

// maximumRequestBytes bounds a request of a peer, which names versions only.
const maximumRequestBytes = 64 << 10

// Handler returns the peers' protocol and the path it answers under.
func (f *Follower) Handler() (string, http.Handler) {
	server := rpc.NewFollowerServer(&newsServer{f})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maximumRequestBytes)
		server.ServeHTTP(w, r)
	})
	return server.PathPrefix(), bounded
}

type newsServer struct{ follower *Follower }

// Newer answers with what the asking node lacks, once there is something.
func (s *newsServer) Newer(ctx context.Context, request *rpc.NewerRequest) (*rpc.NewerResponse, error) {
	held := map[storer.Kind]*rpc.Held{}
	for _, h := range request.GetHeld() {
		held[storer.Kind(h.GetKind())] = h
	}
	hold := min(time.Duration(request.GetHoldMilliseconds())*time.Millisecond, s.follower.options.Stale)
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		response, changed, newer := s.follower.since(held)
		if changed {
			return response, nil
		}
		select {
		case <-newer:
		case <-ctx.Done():
			response, _, _ = s.follower.since(held)
			return response, nil
		}
	}
}

// since describes the copies to a node that has some versions, tells whether any
// is newer, and returns what is closed once one is.
func (f *Follower) since(held map[storer.Kind]*rpc.Held) (*rpc.NewerResponse, bool, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	response := &rpc.NewerResponse{}
	changed := false
	now := time.Now()
	for _, kind := range f.options.Kinds {
		own := f.copies[kind]
		if !own.known {
			continue
		}
		collection := &rpc.Collection{
			Kind:            string(kind),
			Version:         string(own.listing.Version),
			AgeMilliseconds: uint64(own.age(now).Milliseconds()),
			Digest:          own.digest,
			Changed:         f.newerThan(own, held[kind]),
		}
		if collection.Changed {
			changed = true
			own.describe(collection, held[kind])
		}
		response.Collections = append(response.Collections, collection)
	}
	return response, changed, f.newer
}

// describe puts into a message what another node lacks: the changes since its copy,
// or all objects where those are not known.
func (c *copied) describe(collection *rpc.Collection, theirs *rpc.Held) {
	if theirs != nil {
		if lacking, known := c.history.since(theirs.GetDigest()); known {
			collection.Base = lacking.before
			collection.Objects = toWire(lacking.stored)
			collection.Removed = lacking.removed
			return
		}
	}
	collection.Objects = toWire(c.listing.Objects)
}

// newerThan tells whether a copy is later than another node's and differs.
func (f *Follower) newerThan(own *copied, theirs *rpc.Held) bool {
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

// wholeTime is what a call may take longer while this node has no copy: a whole long
// list takes a slow link that long.
const wholeTime = 2 * time.Second

// ask has another node tell what it has that is newer, waiting for it up to hold.
func (f *Follower) ask(ctx context.Context, member assigner.Member, hold time.Duration) {
	bound := hold + f.options.Timeout
	if f.missing() {
		bound += wholeTime
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	client := rpc.NewFollowerProtobufClient("http://"+string(member.PeerAddress), &http.Client{Transport: f.options.Peers})
	response, err := client.Newer(ctx, f.request(hold))
	if err != nil {
		f.options.Log.Log(eventPeerSilent, logger.Fields{"peer": member.Node, "error": err.Error(), "age-ms": f.Age().Milliseconds()})
		return
	}
	now := time.Now()
	for _, collection := range response.GetCollections() {
		f.heard(now, collection)
	}
}

// request names the copies that this node has.
func (f *Follower) request(hold time.Duration) *rpc.NewerRequest {
	request := &rpc.NewerRequest{HoldMilliseconds: uint32(hold.Milliseconds())}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for kind, own := range f.copies {
		if !own.known {
			continue
		}
		digest := own.digest
		if own.unfit {
			digest = 0
		}
		request.Held = append(request.Held, &rpc.Held{Kind: string(kind), Version: string(own.listing.Version), Digest: digest})
	}
	return request
}

// heard takes what another node told of one collection.
func (f *Follower) heard(now time.Time, collection *rpc.Collection) {
	kind := storer.Kind(collection.GetKind())
	confirmed := now.Add(-time.Duration(collection.GetAgeMilliseconds()) * time.Millisecond)
	listing := storer.Listing{Version: storer.Version(collection.GetVersion())}
	if collection.GetChanged() && collection.GetBase() != 0 {
		f.advance(kind, collection, confirmed)
		return
	}
	if collection.GetChanged() {
		listing.Objects = fromWire(kind, collection.GetObjects())
		f.take(kind, listing, confirmed)
		return
	}
	f.confirm(kind, collection.GetDigest(), confirmed)
}

// advance makes the changes that another node told to the copy that they begin at.
// A copy that has changed meanwhile, or comes out otherwise than it should, is
// asked for again.
func (f *Follower) advance(kind storer.Kind, collection *rpc.Collection, confirmed time.Time) {
	change := step{stored: fromWire(kind, collection.GetObjects()), removed: collection.GetRemoved()}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := f.copies[kind]
	if held == nil || !held.known || held.digest != collection.GetBase() {
		return
	}
	objects := change.apply(held.listing.Objects)
	if digestOf(objects) != collection.GetDigest() {
		f.options.Log.Log(eventNewsUnfit, logger.Fields{"kind": kind, "version": collection.GetVersion()})
		held.unfit = true
		return
	}
	f.replace(kind, held, storer.Listing{Version: storer.Version(collection.GetVersion()), Objects: objects}, confirmed)
}

// confirm notes that a copy was still the latest at a time.
func (f *Follower) confirm(kind storer.Kind, digest uint64, confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	held := f.copies[kind]
	if held != nil && held.known && held.digest == digest && confirmed.After(held.confirmed) {
		held.confirmed = confirmed
	}
}
