package tabulator

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
)

// Digest is a hash of the content of a table or snapshot. Contents with equal
// digests are treated as equal.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return fmt.Sprintf("%016x", uint64(d))
}

// MarshalText encodes the digest in hexadecimal because JSON numbers lose bits.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a hexadecimal digest.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := strconv.ParseUint(string(text), 16, 64)
	*d = Digest(parsed)
	return err
}

// Content is the canonical text of both tables: JSON without whitespace, as Encode
// returns it. Snapshots with equal tables have equal contents.
type Content struct {
	Routes []byte
	Pools  []byte
}

// Encode returns the canonical text of a table.
func Encode[T Routes | Pools](table T) []byte {
	text, err := json.Marshal(table)
	if err != nil {
		panic(fmt.Sprintf("a table cannot be written as JSON: %v", err))
	}
	return text
}

// DigestOf returns the digest of a table's canonical text.
func DigestOf(text []byte) Digest {
	return Digest(xxhash.Sum64(text))
}

// Content returns the canonical text of the snapshot's tables.
func (s *Snapshot) Content() Content {
	return Content{Routes: Encode(s.Routes), Pools: Encode(s.Pools)}
}

// Digest returns the digest of both tables.
func (c Content) Digest() Digest {
	digest := xxhash.New()
	_, _ = digest.Write(c.Routes)
	_, _ = digest.Write([]byte{'\n'})
	_, _ = digest.Write(c.Pools)
	return Digest(digest.Sum64())
}

// Snapshot decodes an accepted content. It ignores unknown keys, so that nodes of
// an older release can still switch to new configurations during an upgrade.
func (c Content) Snapshot(number identifier.Configuration) (*Snapshot, error) {
	var routes Routes
	var pools Pools
	if err := json.Unmarshal(c.Routes, &routes); err != nil {
		return nil, Invalid.Wrap(err, "read routes of configuration %d", number)
	}
	if err := json.Unmarshal(c.Pools, &pools); err != nil {
		return nil, Invalid.Wrap(err, "read pools of configuration %d", number)
	}
	return Join(number, routes, pools)
}

// Mismatch is the error type of a delta that does not match the length of the text
// it is applied to.
var Mismatch = errorx.NewNamespace("delta").NewType("mismatch")

// Delta is the difference between two texts as a replacement of the middle. An
// edit usually changes one place of a table, so the middle is short.
type Delta struct {
	// Prefix and Suffix are the numbers of unchanged bytes at the start and the
	// end. They do not overlap in either text.
	Prefix int
	Suffix int
	// Middle replaces the bytes between prefix and suffix.
	Middle []byte
}

// Diff returns the delta from one text to another.
func Diff(before, after []byte) Delta {
	shorter := min(len(before), len(after))
	prefix := 0
	for prefix < shorter && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return Delta{Prefix: prefix, Suffix: suffix, Middle: after[prefix : len(after)-suffix]}
}

// Apply returns the text with its middle replaced. It fails with Mismatch if the
// text is shorter than prefix and suffix; it does not check their content.
func (d Delta) Apply(before []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix > len(before) || d.Suffix > len(before)-d.Prefix {
		return nil, Mismatch.New("keeps %d and %d of %d bytes", d.Prefix, d.Suffix, len(before))
	}
	after := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	after = append(after, before[:d.Prefix]...)
	after = append(after, d.Middle...)
	return append(after, before[len(before)-d.Suffix:]...), nil
}
