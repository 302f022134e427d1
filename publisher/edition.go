package publisher

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// maximumTableBytes bounds an unpacked configuration, so that a damaged archive
// cannot fill the memory.
const maximumTableBytes = 16 << 20

// unreadable is the error type of content that does not match its stamp.
var unreadable = errorx.NewNamespace("configuration").NewType("unreadable")

// stamp names one accepted configuration.
type stamp struct {
	number identifier.Configuration
	digest tabulator.Digest
}

// edition is one accepted configuration in every form it is needed in. It is
// immutable.
type edition struct {
	// stamp and snapshot belong to content.
	stamp    stamp
	content  tabulator.Content
	snapshot *tabulator.Snapshot
	// archive returns the packed content.
	archive func() []byte
}

func newEdition(number identifier.Configuration, content tabulator.Content) (*edition, error) {
	snapshot, err := content.Snapshot(number)
	if err != nil {
		return nil, err
	}
	return &edition{
		stamp:    stamp{number: number, digest: content.Digest()},
		content:  content,
		snapshot: snapshot,
		archive:  sync.OnceValue(func() []byte { return pack(content) }),
	}, nil
}

// unpackEdition reads an archive and checks it against its stamp.
func unpackEdition(expected stamp, archive []byte) (*edition, error) {
	content, err := unpack(archive)
	if err != nil {
		return nil, err
	}
	made, err := checkedEdition(expected, content)
	if err != nil {
		return nil, err
	}
	made.archive = func() []byte { return archive }
	return made, nil
}

func checkedEdition(expected stamp, content tabulator.Content) (*edition, error) {
	if found := content.Digest(); found != expected.digest {
		return nil, unreadable.New("configuration %d: digest %s, want %s", expected.number, found, expected.digest)
	}
	return newEdition(expected.number, content)
}

// pack compresses both tables, a line each.
func pack(content tabulator.Content) []byte {
	var packed bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	_, _ = writer.Write(content.Routes)
	_, _ = writer.Write([]byte{'\n'})
	_, _ = writer.Write(content.Pools)
	_ = writer.Close()
	return packed.Bytes()
}

func unpack(archive []byte) (tabulator.Content, error) {
	reader, err := gzip.NewReader(bytes.NewReader(archive))
	if err != nil {
		return tabulator.Content{}, unreadable.Wrap(err, "archive")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maximumTableBytes))
	if err != nil {
		return tabulator.Content{}, unreadable.Wrap(err, "archive")
	}
	// Canonical JSON holds no line break.
	routes, pools, found := bytes.Cut(text, []byte{'\n'})
	if !found {
		return tabulator.Content{}, unreadable.New("archive holds one table")
	}
	return tabulator.Content{Routes: routes, Pools: pools}, nil
}

// step leads from one configuration to a later one.
type step struct {
	before, after stamp
	routes, pools tabulator.Delta
}

func newStep(before, after *edition) step {
	return step{
		before: before.stamp,
		after:  after.stamp,
		routes: tabulator.Diff(before.content.Routes, after.content.Routes),
		pools:  tabulator.Diff(before.content.Pools, after.content.Pools),
	}
}

// bytes is about what the step takes on the wire.
func (s step) bytes() int {
	const frame = 64
	return frame + len(s.routes.Middle) + len(s.pools.Middle)
}

func (s step) apply(content tabulator.Content) (tabulator.Content, error) {
	routes, err := s.routes.Apply(content.Routes)
	if err != nil {
		return content, err
	}
	pools, err := s.pools.Apply(content.Pools)
	if err != nil {
		return content, err
	}
	return tabulator.Content{Routes: routes, Pools: pools}, nil
}

// follow applies steps to an edition and checks the result. It returns false
// when no step begins at the edition.
func follow(from *edition, steps []step) (*edition, bool, error) {
	content, at := from.content, from.stamp
	for _, next := range steps {
		if next.before != at {
			continue
		}
		changed, err := next.apply(content)
		if err != nil {
			return nil, false, err
		}
		content, at = changed, next.after
	}
	if at == from.stamp {
		return nil, false, nil
	}
	made, err := checkedEdition(at, content)
	return made, err == nil, err
}
