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

// maximumKeyBytes bounds a key, so that a full page stays within its object's size.
const maximumKeyBytes = 200

// bindingSeparator separates a key from the node incarnation it is bound to.
const bindingSeparator = "@"

// parsedKey is a key with its time of issue and its binding.
type parsedKey struct {
	// text identifies the key, with the time of issue if that was given apart.
	text string
	// issued is never zero.
	issued time.Time
	// bound is set if the key can run in only one incarnation of one node.
	bound bool
	// node is empty unless bound is set.
	node identifier.Node
	// incarnation is zero unless bound is set.
	incarnation identifier.Incarnation
}

// BindingSuffix returns the suffix that binds a key to an incarnation of a node.
func BindingSuffix(node identifier.Node, incarnation identifier.Incarnation) string {
	return fmt.Sprintf("%s%s.%d", bindingSeparator, node, incarnation)
}

// parseKey parses the time of issue and the binding of a key. The time in a UUIDv7
// overrides the given one, so that a resend cannot change it. It returns BadKey for
// an empty key, one that is too long and one without a time of issue.
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

// parseBinding parses "node.incarnation" and reports whether text has that form.
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

// uuidV7Time returns the time of issue of a UUIDv7 in its 36-character form.
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

// location is where a key's entry is stored: a shard, and the bucket of its time of
// issue. It depends only on the key and the layout.
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

// ownerTerm is the range of issue times for which one node owns a shard. Nodes take
// turns, so that over an hour none carries much more of the ledger than the others.
const ownerTerm = time.Minute

// ownerKey returns the text that is hashed to choose the owner of a location.
func (p location) ownerKey(l *layout) string {
	term := p.bucket * l.BucketMilliseconds / ownerTerm.Milliseconds()
	return fmt.Sprintf("ledger/%d/%d", p.shard, term)
}

// prunerKey returns the text that is hashed to choose the node that prunes a shard.
func (p location) prunerKey() string {
	return fmt.Sprintf("ledger/%d", p.shard)
}

// objectName returns the name of the object with this part number, from 0.
func (p location) objectName(part int) string {
	return fmt.Sprintf("page-%d-%d-%d", p.shard, p.bucket, part)
}
