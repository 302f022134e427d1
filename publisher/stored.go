package publisher

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// snapshotName is the name of the only object of storer.KindSnapshot.
const snapshotName = "accepted"

// recentPublicationsKept is the number of earlier publications listed in the
// stored snapshot, so that a publisher finds its own after later ones were added.
const recentPublicationsKept = 8

// wireSnapshot is the spec of the stored snapshot.
type wireSnapshot struct {
	wirePublication
	// Recent lists the publications before this one, latest first.
	Recent []wirePublication `json:"recent,omitempty"`
	// Archive contains both tables, compressed.
	Archive []byte `json:"archive"`
}

// wirePublication identifies a published configuration and its writer.
type wirePublication struct {
	Number  identifier.Configuration `json:"number"`
	Digest  tabulator.Digest         `json:"digest"`
	Routes  tabulator.Digest         `json:"routes-digest"`
	Pools   tabulator.Digest         `json:"pools-digest"`
	Node    identifier.Node          `json:"node"`
	Attempt string                   `json:"attempt"`
}

// storedSnapshot is the stored snapshot as read, or zero if there is none.
type storedSnapshot struct {
	object storer.Object
	record wireSnapshot
	// configuration is nil if nothing is stored.
	configuration *configuration
}

// number returns the stored number, or zero if nothing is stored.
func (s storedSnapshot) number() identifier.Configuration { return s.record.Number }

// findPublication returns the latest matching publication, or false if none matches.
func (s storedSnapshot) findPublication(matches func(wirePublication) bool) (wirePublication, bool) {
	if s.configuration != nil && matches(s.record.wirePublication) {
		return s.record.wirePublication, true
	}
	for _, publication := range s.record.Recent {
		if matches(publication) {
			return publication, true
		}
	}
	return wirePublication{}, false
}

// loadStored reads the stored snapshot, or fails with storer.NotFound.
func (p *Publisher) loadStored(ctx context.Context) (storedSnapshot, error) {
	object, err := p.options.Store.Get(ctx, storer.KindSnapshot, snapshotName)
	if err != nil {
		return storedSnapshot{}, err
	}
	return p.decodeStored(object)
}

func (p *Publisher) decodeStored(object storer.Object) (storedSnapshot, error) {
	stored := storedSnapshot{object: object}
	if err := json.Unmarshal(object.Spec, &stored.record); err != nil {
		return stored, p.reportUnreadable(err)
	}
	expected := stamp{number: stored.record.Number, digest: stored.record.Digest}
	if active := p.active.Load(); active != nil && active.stamp == expected {
		stored.configuration = active
		return stored, nil
	}
	unpacked, err := unpackConfiguration(expected, stored.record.Archive)
	if err != nil {
		return stored, p.reportUnreadable(err)
	}
	stored.configuration = unpacked
	return stored, nil
}

func (p *Publisher) reportUnreadable(err error) error {
	p.options.Log.Log(eventUnreadable, logger.Fields{"error": err.Error()})
	return errUnreadable.Wrap(err, "stored snapshot")
}

// nextObject returns the object that replaces the stored snapshot.
func (s storedSnapshot) nextObject(configuration *configuration, by writer) storer.Object {
	record := wireSnapshot{
		wirePublication: wirePublication{
			Number:  configuration.stamp.number,
			Digest:  configuration.stamp.digest,
			Routes:  tabulator.DigestOf(configuration.content.Routes),
			Pools:   tabulator.DigestOf(configuration.content.Pools),
			Node:    by.node,
			Attempt: by.attempt,
		},
		Archive: configuration.archive(),
	}
	if s.configuration != nil {
		record.Recent = append([]wirePublication{s.record.wirePublication}, s.record.Recent...)
		record.Recent = record.Recent[:min(recentPublicationsKept, len(record.Recent))]
	}
	spec, err := json.Marshal(record)
	if err != nil {
		panic("a snapshot cannot be written as JSON: " + err.Error())
	}
	return storer.Object{Kind: storer.KindSnapshot, Name: snapshotName, Version: s.object.Version, Spec: spec}
}

// writer identifies the node and the attempt of a write. The attempt is unique,
// so that a write whose answer was lost is recognised when the object is read.
type writer struct {
	node    identifier.Node
	attempt string
}

type writeResult string

const (
	// writeDone means that the write took effect.
	writeDone writeResult = "written"
	// writeConflicted means that the write had no effect: another write came first.
	writeConflicted writeResult = "overtaken"
	// writeFailed means that the write had no effect: the store was down or refused it.
	writeFailed writeResult = "unwritten"
	// writeUncertain means that ctx ended before the effect was known.
	writeUncertain writeResult = "unsettled"
)

// writeConditionally makes a conditional write and determines its outcome. If
// the answer is lost it repeats the write: the condition on the version lets only
// one of the repeats take effect, even if an earlier one is still in flight. After
// a conflict, isOwn reports whether the stored object is from this write.
func (p *Publisher) writeConditionally(ctx context.Context, object storer.Object, isOwn func(storer.Object) bool) (writeResult, error) {
	retry := p.newBackOff()
	mayHaveTakenEffect := false
	for {
		_, err := p.writeOnce(ctx, object)
		switch {
		case err == nil:
			return writeDone, nil
		case errorx.IsOfType(err, storer.Conflict), errorx.IsOfType(err, storer.NotFound):
			found, readErr := p.options.Store.Get(ctx, object.Kind, object.Name)
			switch {
			case readErr == nil && isOwn(found):
				return writeDone, nil
			case readErr == nil && found.Version == object.Version:
				// The update conflicted although the version matches: the read is stale.
			case readErr == nil || errorx.IsOfType(readErr, storer.NotFound):
				return writeConflicted, err
			}
		case errorx.IsOfType(err, storer.Invalid):
			return writeFailed, err
		case !errorx.IsOfType(err, storer.Unavailable):
			mayHaveTakenEffect = true
		}
		p.reportStoreFailure(err)
		if !retry.wait(ctx) {
			if mayHaveTakenEffect {
				return writeUncertain, err
			}
			return writeFailed, err
		}
	}
}

func (p *Publisher) writeOnce(ctx context.Context, object storer.Object) (storer.Object, error) {
	if object.Version == "" {
		return p.options.Store.Create(ctx, object)
	}
	return p.options.Store.Update(ctx, object)
}
