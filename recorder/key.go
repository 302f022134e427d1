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

// maximumKeyBytes bounds a key, so that a full page fits into one object.
const maximumKeyBytes = 200

// bindingSeparator separates a key from the node incarnation it is bound to.
const bindingSeparator = "@"

// parsedKey is a key with its time of issue and its binding.
type parsedKey struct {
	// text is the key, followed by "#" and the time of issue if that is not in the key.
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
// overrides callIssued, so that a resend cannot change it. parseKey fails with BadKey
// if the key is empty, is too long or has no time of issue.
func parseKey(key identifier.Key, callIssued time.Time) (parsedKey, error) {
	text := string(key)
	if text == "" || len(text) > maximumKeyBytes {
		return parsedKey{}, BadKey.New("key of %d bytes, want 1 to %d", len(text), maximumKeyBytes)
	}
	parsed := parsedKey{text: text, issued: callIssued}
	base := text
	if at := strings.LastIndex(text, bindingSeparator); at >= 0 {
		base = text[:at]
		parsed.bound = parsed.parseBinding(text[at+1:])
	}
	if issued, ok := uuidV7Time(base); ok {
		parsed.issued = issued
		return parsed, nil
	}
	if callIssued.IsZero() || callIssued.UnixMilli() < 0 {
		return parsedKey{}, BadKey.New("key has no time of issue")
	}
	parsed.issued = time.UnixMilli(callIssued.UnixMilli())
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

// location is where a key's entry is stored: a shard and a bucket, which is a range of
// times of issue. It depends only on the key and the layout.
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

// ownerTerm is the range of issue times for which one node owns a shard. The owner then
// changes, so that over an hour no node writes much more of the ledger than another.
const ownerTerm = time.Minute

// ownerKey returns the text that is hashed to choose the owner of a location.
func (at location) ownerKey(l *layout) string {
	term := at.bucket * l.BucketMilliseconds / ownerTerm.Milliseconds()
	return fmt.Sprintf("ledger/%d/%d", at.shard, term)
}

// prunerKey returns the text that is hashed to choose the node that prunes a shard.
func (at location) prunerKey() string {
	return fmt.Sprintf("ledger/%d", at.shard)
}

// objectName returns the name of the object with this part number, from 0.
func (at location) objectName(part int) string {
	return fmt.Sprintf("page-%d-%d-%d", at.shard, at.bucket, part)
}
