package follower

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	rpc "github.com/foxtailspool/foxtailspool/follower/followerrpc"

	"github.com/joomcode/errorx"
	"github.com/klauspost/compress/zstd"

	"github.com/foxtailspool/foxtailspool/storer"
)

// A configuration with some thousand routes takes most of a second on a slow link. So nodes
// send one another a large object as a reference, and the others request its content once,
// compressed against the version that they have. A node sends only a few contents at once,
// and refers other nodes to those that have got it, so that no link carries a content more
// than a few times and news of other changes do not wait behind it.

const (
	// largeContentBytes is the size from which an object's spec is sent as a reference. An
	// entry of the list of back ends has some hundred bytes.
	largeContentBytes = 16 << 10
	// maxContentSends is how many contents a node sends at once.
	maxContentSends = 4
	// sendSlotWait is how long a request waits for an earlier one while no other node is
	// known to have the content.
	sendSlotWait = 200 * time.Millisecond
	// maxHolders limits the nodes that are remembered for a content, and namedHolders those
	// that an answer names.
	maxHolders   = 32
	namedHolders = 4
	// maxEncodedContents limits the compressed contents that are kept.
	maxEncodedContents = 6
	// maxContentBytes limits a content, a few times the size that the platform allows.
	maxContentBytes = 8 << 20
)

// errContent is the type of errors for contents that cannot be decoded.
var errContent = errorx.NewNamespace("follower").NewType("content")

// replaceByReferences replaces the large objects of a response, except removed ones, by
// references.
func replaceByReferences(response *rpc.NewerResponse) {
	for _, collection := range response.GetCollections() {
		for _, object := range collection.GetObjects() {
			if size := len(object.GetSpec()); size >= largeContentBytes && !slices.Contains(collection.GetRemoved(), object.GetName()) {
				object.Spec, object.ContentBytes = nil, uint32(size)
			}
		}
	}
}

// findContent returns the spec of one version of an object, or nil if this node no longer
// has it.
func (f *Follower) findContent(kind storer.Kind, name string, version storer.Version) []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.copies[kind]
	if current == nil || version == "" {
		return nil
	}
	if object, found := findObject(current.listing.Objects, name); found && object.Version == version {
		return object.Spec
	}
	if object, found := findObject(current.merged, name); found && object.Version == version {
		return object.Spec
	}
	if entry, found := current.retained[name]; found && !entry.removed && entry.object.Version == version {
		return entry.object.Spec
	}
	if object, found := findObject(current.beforeRestore, name); found && object.Version == version {
		return object.Spec
	}
	for _, d := range slices.Backward(current.history.deltas) {
		if object, found := findObject(d.stored, name); found && object.Version == version {
			return object.Spec
		}
	}
	return nil
}

// contentKey identifies a compressed content.
type contentKey struct {
	kind          storer.Kind
	name          string
	version, base storer.Version
}

// contentSender limits the contents that a node sends and compresses each once.
type contentSender struct {
	// sends has a token for each content that is being sent.
	sends chan struct{}

	// mutex guards the fields below.
	mutex   sync.Mutex
	encoded map[contentKey][]byte
	// holders are the nodes that have got a content, by its key without a base.
	holders map[contentKey][]string
}

func newContentSender() *contentSender {
	return &contentSender{
		sends:   make(chan struct{}, maxContentSends),
		encoded: map[contentKey][]byte{},
		holders: map[contentKey][]string{},
	}
}

// acquire takes a token. It waits for one only while no other node is known to have the
// content.
func (c *contentSender) acquire(ctx context.Context, key contentKey) bool {
	select {
	case c.sends <- struct{}{}:
		return true
	default:
	}
	if len(c.someHolders(key)) > 0 {
		return false
	}
	timer := time.NewTimer(sendSlotWait)
	defer timer.Stop()
	select {
	case c.sends <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// release returns a token after a content was sent to a node.
func (c *contentSender) release(key contentKey, node string) {
	<-c.sends
	key.base = ""
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.holders[key]; !known && len(c.holders) >= maxEncodedContents {
		clear(c.holders)
	}
	holders := append(c.holders[key], node)
	c.holders[key] = holders[max(0, len(holders)-maxHolders):]
}

// someHolders returns some nodes, drawn at random, that have got a content.
func (c *contentSender) someHolders(key contentKey) []string {
	key.base = ""
	c.mutex.Lock()
	defer c.mutex.Unlock()
	holders := slices.Clone(c.holders[key])
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	return holders[:min(namedHolders, len(holders))]
}

// compressed returns a content compressed against a base, which may be nil.
func (c *contentSender) compressed(key contentKey, content, base []byte) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if encoded, known := c.encoded[key]; known {
		return encoded, nil
	}
	encoded, err := encodeContent(content, base)
	if err != nil {
		return nil, err
	}
	if len(c.encoded) >= maxEncodedContents {
		clear(c.encoded)
	}
	c.encoded[key] = encoded
	return encoded, nil
}

// contentDictionary is the id of a base as a dictionary; both sides have the same one.
const contentDictionary = 1

func encodeContent(content, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(contentWindow(len(content) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(contentDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errContent.Wrap(err, "compress")
	}
	encoded := encoder.EncodeAll(content, nil)
	if err := encoder.Close(); err != nil {
		return nil, errContent.Wrap(err, "compress")
	}
	return encoded, nil
}

// contentWindow returns a window that reaches over a content and its base.
func contentWindow(byteCount int) int {
	return min(max(1<<bits.Len(uint(byteCount)), zstd.MinWindowSize), maxContentBytes)
}

func decodeContent(encoded, base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxContentBytes), zstd.WithDecoderMaxWindow(maxContentBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(contentDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errContent.Wrap(err, "decompress")
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, errContent.Wrap(err, "decompress")
	}
	return content, nil
}

// sendKey is the context key of the token that a request has taken.
type sendKey struct{}

// sendSlot holds what a request's end releases. The content is written after the method of
// the service has returned.
type sendSlot struct{ release func() }

// Content sends the content of an object.
func (s *peerServer) Content(ctx context.Context, request *rpc.ContentRequest) (*rpc.ContentResponse, error) {
	f := s.follower
	key := contentKey{
		kind: storer.Kind(request.GetKind()), name: request.GetName(),
		version: storer.Version(request.GetVersion()), base: storer.Version(request.GetBaseVersion()),
	}
	content := f.findContent(key.kind, key.name, key.version)
	slot, hasSlot := ctx.Value(sendKey{}).(*sendSlot)
	if content == nil || !hasSlot {
		return &rpc.ContentResponse{}, nil
	}
	if !f.contents.acquire(ctx, key) {
		return &rpc.ContentResponse{Busy: true, Holders: f.contents.someHolders(key)}, nil
	}
	slot.release = func() { f.contents.release(key, request.GetNode()) }
	base := f.findContent(key.kind, key.name, key.base)
	if base == nil {
		key.base = ""
	}
	compressed, err := f.contents.compressed(key, content, base)
	if err != nil {
		return nil, err
	}
	f.sentBytes.Inc(int64(len(compressed)))
	return &rpc.ContentResponse{Compressed: compressed, FromBase: base != nil, BaseVersion: string(key.base)}, nil
}
