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

// bindingSeparator separates a key from the node it is bound to.
const bindingSeparator = "@"

// parsedKey is a key with what it tells about itself.
type parsedKey struct {
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
	return fmt.Sprintf("%s%s.%d", bindingSeparator, node, incarnation)
}

// parseKey reads the time of issue and the binding of a key. The time inside a
// UUIDv7 goes before one given apart, so that a resend cannot change it.
func parseKey(key identifier.Key, given time.Time) (parsedKey, error) {
	text := string(key)
	if text == "" || len(text) > maximumKeyBytes {
		return parsedKey{}, BadKey.New("key of %d bytes, want 1 to %d", len(text), maximumKeyBytes)
	}
	parsed := parsedKey{text: text, issued: given}
	base := text
	if at := strings.LastIndex(text, bindingSeparator); at >= 0 {
		base = text[:at]
		parsed.bound = parsed.parseBinding(text[at+1:])
	}
	if issued, ok := uuidV7Time(base); ok {
		parsed.issued = issued
		return parsed, nil
	}
	if given.IsZero() || given.UnixMilli() < 0 {
		return parsedKey{}, BadKey.New("key has no time of issue")
	}
	parsed.issued = time.UnixMilli(given.UnixMilli())
	parsed.text += "#" + strconv.FormatInt(parsed.issued.UnixMilli(), 10)
	return parsed, nil
}

// parseBinding reads "node.incarnation" and tells whether the text is one.
func (k *parsedKey) parseBinding(text string) bool {
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

// uuidV7Time reads the time of issue of a UUIDv7 in its usual form.
func uuidV7Time(text string) (time.Time, bool) {
	const uuidLength = 36
	if len(text) != uuidLength {
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

// location is where a key's entry is kept: a shard, and the bucket of its time of
// issue. It depends on nothing but the key and the layout.
type location struct {
	shard  int
	bucket int64
}

func (k parsedKey) location(l *layout) location {
	return location{
		shard:  int(xxhash.Sum64String(k.text) % uint64(l.Shards)),
		bucket: k.issued.UnixMilli() / l.BucketMilliseconds,
	}
}

// ownerTerm is how long one node owns a shard: all nodes take turns, so that
// none carries much more of the ledger than the others over an hour.
const ownerTerm = time.Minute

// ownerKey is the name by which the owner of a place is chosen.
func (p location) ownerKey(l *layout) string {
	term := p.bucket * l.BucketMilliseconds / ownerTerm.Milliseconds()
	return fmt.Sprintf("ledger/%d/%d", p.shard, term)
}

// prunerKey is the name by which the node that prunes a shard is chosen.
func (p location) prunerKey() string {
	return fmt.Sprintf("ledger/%d", p.shard)
}

// objectName is the name of the n-th objectName of a place.
func (p location) objectName(part int) string {
	return fmt.Sprintf("page-%d-%d-%d", p.shard, p.bucket, part)
}
