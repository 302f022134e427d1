package recorder

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// maximumKeyBytes bounds a key, so that a full page stays within its size.
const maximumKeyBytes = 200

// bindingMark separates a key from the node it is bound to.
const bindingMark = "@"

// issuedKey is a key with what it tells about itself.
type issuedKey struct {
	// text is the identity of the key: it holds the time of issue where the
	// caller gave that apart from the key.
	text string
	// issued is never zero.
	issued time.Time
	// node and incarnation are set when bound is.
	bound       bool
	node        identifier.Node
	incarnation identifier.Incarnation
}

// Binding returns the text that binds a key to an incarnation of a node when
// it is put behind the key.
func Binding(node identifier.Node, incarnation identifier.Incarnation) string {
	return fmt.Sprintf("%s%s.%d", bindingMark, node, incarnation)
}

// parseKey reads the time of issue and the binding of a key. The time inside a
// UUIDv7 goes before one given apart, so that a resend cannot change it.
func parseKey(key identifier.Key, given time.Time) (issuedKey, error) {
	text := string(key)
	if text == "" || len(text) > maximumKeyBytes {
		return issuedKey{}, BadKey.New("key of %d bytes, want 1 to %d", len(text), maximumKeyBytes)
	}
	parsed := issuedKey{text: text, issued: given}
	base := text
	if at := strings.LastIndex(text, bindingMark); at >= 0 {
		base = text[:at]
		parsed.bound = parsed.bind(text[at+1:])
	}
	if issued, ok := issuedWithin(base); ok {
		parsed.issued = issued
		return parsed, nil
	}
	if given.IsZero() || given.UnixMilli() < 0 {
		return issuedKey{}, BadKey.New("key has no time of issue")
	}
	parsed.issued = time.UnixMilli(given.UnixMilli())
	parsed.text += "#" + strconv.FormatInt(parsed.issued.UnixMilli(), 10)
	return parsed, nil
}

// bind reads "node.incarnation" and tells whether the text is one.
func (k *issuedKey) bind(text string) bool {
	dot := strings.LastIndex(text, ".")
	if dot <= 0 {
		return false
	}
	incarnation, err := strconv.ParseUint(text[dot+1:], 10, 64)
	if err != nil {
		return false
	}
	k.node = identifier.Node(text[:dot])
	k.incarnation = identifier.Incarnation(incarnation)
	return true
}

// issuedWithin reads the time of issue of a UUIDv7 in its usual form.
func issuedWithin(text string) (time.Time, bool) {
	const usualLength = 36
	if len(text) != usualLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	milliseconds := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 |
		int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(milliseconds), true
}

// place is where a key's entry is kept: a shard, and the bucket of its time of
// issue. It depends on nothing but the key and the layout.
type place struct {
	shard  int
	bucket int64
}

func (k issuedKey) place(l *layout) place {
	return place{
		shard:  int(xxhash.Sum64String(k.text) % uint64(l.Shards)),
		bucket: k.issued.UnixMilli() / l.BucketMilliseconds,
	}
}

// ownerTerm is how long one node owns a shard: all nodes take turns, so that
// none carries much more of the ledger than the others over an hour.
const ownerTerm = time.Minute

// ownedAs is the name by which the owner of a place is chosen.
func (p place) ownedAs(l *layout) string {
	term := p.bucket * l.BucketMilliseconds / ownerTerm.Milliseconds()
	return fmt.Sprintf("ledger/%d/%d", p.shard, term)
}

// prunedAs is the name by which the node that prunes a shard is chosen.
func (p place) prunedAs() string {
	return fmt.Sprintf("ledger/%d", p.shard)
}

// object is the name of the n-th object of a place.
func (p place) object(part int) string {
	return fmt.Sprintf("page-%d-%d-%d", p.shard, p.bucket, part)
}
