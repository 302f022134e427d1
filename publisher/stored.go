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

// snapshotName is the name of the one object of its kind.
const snapshotName = "accepted"

// recentKept is how many publications the stored snapshot remembers, so that a
// publisher finds its own after others have followed.
const recentKept = 8

// wireSnapshot is the spec of the stored snapshot.
type wireSnapshot struct {
	wirePublication
	// Recent lists the publications before this one, latest first.
	Recent []wirePublication `json:"recent,omitempty"`
	// Archive holds both tables, compressed.
	Archive []byte `json:"archive"`
}

// wirePublication tells who published what.
type wirePublication struct {
	Number  identifier.Configuration `json:"number"`
	Digest  tabulator.Digest         `json:"digest"`
	Routes  tabulator.Digest         `json:"routes-digest"`
	Pools   tabulator.Digest         `json:"pools-digest"`
	Node    identifier.Node          `json:"node"`
	Attempt string                   `json:"attempt"`
}

// storedSnapshot is the stored snapshot as it was read. The zero value stands
// for none.
type storedSnapshot struct {
	object storer.Object
	record wireSnapshot
	// edition is nil where nothing is stored.
	edition *edition
}

// number is the stored number, zero for none.
func (s storedSnapshot) number() identifier.Configuration { return s.record.Number }

// find returns a publication that the store remembers.
func (s storedSnapshot) find(fits func(wirePublication) bool) (wirePublication, bool) {
	if s.edition != nil && fits(s.record.wirePublication) {
		return s.record.wirePublication, true
	}
	for _, publication := range s.record.Recent {
		if fits(publication) {
			return publication, true
		}
	}
	return wirePublication{}, false
}

// loadStored reads the stored snapshot; NotFound when there is none.
func (p *Publisher) loadStored(ctx context.Context) (storedSnapshot, error) {
	object, err := p.options.Store.Get(ctx, storer.KindSnapshot, snapshotName)
	if err != nil {
		return storedSnapshot{}, err
	}
	return p.readStored(object)
}

func (p *Publisher) readStored(object storer.Object) (storedSnapshot, error) {
	stored := storedSnapshot{object: object}
	if err := json.Unmarshal(object.Spec, &stored.record); err != nil {
		return stored, p.unreadable(err)
	}
	expected := stamp{number: stored.record.Number, digest: stored.record.Digest}
	if held := p.current.Load(); held != nil && held.stamp == expected {
		stored.edition = held
		return stored, nil
	}
	made, err := unpackEdition(expected, stored.record.Archive)
	if err != nil {
		return stored, p.unreadable(err)
	}
	stored.edition = made
	return stored, nil
}

func (p *Publisher) unreadable(err error) error {
	p.options.Log.Log(eventUnreadable, logger.Fields{"error": err.Error()})
	return unreadable.Wrap(err, "stored snapshot")
}

// next returns the stored form of an edition that follows the stored one.
func (s storedSnapshot) next(made *edition, by publication) storer.Object {
	record := wireSnapshot{
		wirePublication: wirePublication{
			Number:  made.stamp.number,
			Digest:  made.stamp.digest,
			Routes:  tabulator.DigestOf(made.content.Routes),
			Pools:   tabulator.DigestOf(made.content.Pools),
			Node:    by.node,
			Attempt: by.attempt,
		},
		Archive: made.archive(),
	}
	if s.edition != nil {
		record.Recent = append([]wirePublication{s.record.wirePublication}, s.record.Recent...)
		record.Recent = record.Recent[:min(recentKept, len(record.Recent))]
	}
	spec, err := json.Marshal(record)
	if err != nil {
		panic("a snapshot cannot be written as JSON: " + err.Error())
	}
	return storer.Object{Kind: storer.KindSnapshot, Name: snapshotName, Version: s.object.Version, Spec: spec}
}

// publication says who writes. The attempt is unique, so that a write whose
// answer was lost is found when the store is read back.
type publication struct {
	node    identifier.Node
	attempt string
}

// writeResult is what came of a conditional write.
type writeResult string

const (
	// written: the write took effect.
	written writeResult = "written"
	// overtaken: the write took no effect, because another came first.
	overtaken writeResult = "overtaken"
	// unwritten: the write took no effect; the store is out or refused it.
	unwritten writeResult = "unwritten"
	// unsettled: whether the write took effect could not be read back in time.
	unsettled writeResult = "unsettled"
)

// write makes one conditional write and settles its outcome. When the answer is
// lost it repeats the very same write: its condition lets it take effect once,
// and a repeat that wins also shuts out an earlier one that is still under way.
// A conflict is settled by reading back; isOwn recognises the own write.
func (p *Publisher) write(ctx context.Context, object storer.Object, isOwn func(storer.Object) bool) (writeResult, error) {
	wait := p.newBackOff()
	mayHaveRun := false
	for {
		_, err := p.writeOnce(ctx, object)
		switch {
		case err == nil:
			return written, nil
		case errorx.IsOfType(err, storer.Conflict), errorx.IsOfType(err, storer.NotFound):
			found, readErr := p.options.Store.Get(ctx, object.Kind, object.Name)
			switch {
			case readErr == nil && isOwn(found):
				return written, nil
			case readErr == nil && found.Version == object.Version:
				// The store contradicts itself: this read is out of date.
			case readErr == nil || errorx.IsOfType(readErr, storer.NotFound):
				return overtaken, err
			}
		case errorx.IsOfType(err, storer.Invalid):
			return unwritten, err
		case !errorx.IsOfType(err, storer.Unavailable):
			mayHaveRun = true
		}
		p.storeFailed(err)
		if !wait.wait(ctx) {
			if mayHaveRun {
				return unsettled, err
			}
			return unwritten, err
		}
	}
}

func (p *Publisher) writeOnce(ctx context.Context, object storer.Object) (storer.Object, error) {
	if object.Version == "" {
		return p.options.Store.Create(ctx, object)
	}
	return p.options.Store.Update(ctx, object)
}
