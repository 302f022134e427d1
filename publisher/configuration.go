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

// maximumUnpackedBytes limits the size of an unpacked configuration, so that a
// damaged archive cannot exhaust the memory.
const maximumUnpackedBytes = 16 << 20

// errUnreadable is the error type of undecodable or mismatching content.
var errUnreadable = errorx.NewNamespace("configuration").NewType("unreadable")

// stamp identifies one accepted configuration.
type stamp struct {
	number identifier.Configuration
	digest tabulator.Digest
}

// configuration is one accepted configuration. It is immutable.
type configuration struct {
	// stamp and snapshot are derived from content.
	stamp    stamp
	content  tabulator.Content
	snapshot *tabulator.Snapshot
	// archive returns the compressed content.
	archive func() []byte
}

func newConfiguration(number identifier.Configuration, content tabulator.Content) (*configuration, error) {
	snapshot, err := content.Snapshot(number)
	if err != nil {
		return nil, err
	}
	return &configuration{
		stamp:    stamp{number: number, digest: content.Digest()},
		content:  content,
		snapshot: snapshot,
		archive:  sync.OnceValue(func() []byte { return pack(content) }),
	}, nil
}

// unpackConfiguration decompresses an archive and verifies its digest.
func unpackConfiguration(expected stamp, archive []byte) (*configuration, error) {
	content, err := unpack(archive)
	if err != nil {
		return nil, err
	}
	unpacked, err := newVerifiedConfiguration(expected, content)
	if err != nil {
		return nil, err
	}
	unpacked.archive = func() []byte { return archive }
	return unpacked, nil
}

func newVerifiedConfiguration(expected stamp, content tabulator.Content) (*configuration, error) {
	if found := content.Digest(); found != expected.digest {
		return nil, errUnreadable.New("configuration %d: digest %s, want %s", expected.number, found, expected.digest)
	}
	return newConfiguration(expected.number, content)
}

// pack compresses both tables, one per line.
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
		return tabulator.Content{}, errUnreadable.Wrap(err, "archive")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maximumUnpackedBytes))
	if err != nil {
		return tabulator.Content{}, errUnreadable.Wrap(err, "archive")
	}
	// Canonical JSON contains no line break.
	routes, pools, found := bytes.Cut(text, []byte{'\n'})
	if !found {
		return tabulator.Content{}, errUnreadable.New("archive holds one table")
	}
	return tabulator.Content{Routes: routes, Pools: pools}, nil
}

// step is the difference between one configuration and a later one.
type step struct {
	before, after stamp
	routes, pools tabulator.Delta
}

func newStep(before, after *configuration) step {
	return step{
		before: before.stamp,
		after:  after.stamp,
		routes: tabulator.Diff(before.content.Routes, after.content.Routes),
		pools:  tabulator.Diff(before.content.Pools, after.content.Pools),
	}
}

// wireBytes returns the approximate size of the encoded step.
func (s step) wireBytes() int {
	const frameBytes = 64
	return frameBytes + len(s.routes.Middle) + len(s.pools.Middle)
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

// applySteps applies steps to a configuration and verifies the result. It
// returns false if no step starts at the configuration.
func applySteps(from *configuration, steps []step) (*configuration, bool, error) {
	content, reached := from.content, from.stamp
	for _, next := range steps {
		if next.before != reached {
			continue
		}
		changed, err := next.apply(content)
		if err != nil {
			return nil, false, err
		}
		content, reached = changed, next.after
	}
	if reached == from.stamp {
		return nil, false, nil
	}
	result, err := newVerifiedConfiguration(reached, content)
	return result, err == nil, err
}
