package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams the changes of a kind after the client's resource version.
// Without a version it starts with an ADDED event for each current object.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	p.count(func(c *PlatformCounts) { c.Watches++; c.Waiting++ })
	defer p.count(func(c *PlatformCounts) { c.Waiting-- })
	if !p.admit(w, r) {
		return
	}
	cursor, first := p.beginWatch(r.URL.Query().Get("resourceVersion"), kind)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	stream := &watchStream{encoder: json.NewEncoder(w), flusher: http.NewResponseController(w)}
	if !stream.send(first) {
		return
	}
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	for {
		batch := p.changesAfter(cursor, kind)
		if batch.ended {
			return
		}
		if !stream.send(batch.events) || batch.expired {
			return
		}
		cursor = batch.cursor
		select {
		case <-batch.changed:
		case <-bookmarks.C:
			if !p.sendBookmark(stream, kind, cursor) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// beginWatch returns the revision to resume from and the initial events.
func (p *Platform) beginWatch(after, kind string) (uint64, []platformEvent) {
	if after != "" && after != "0" {
		cursor, _ := strconv.ParseUint(after, 10, 64)
		return cursor, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var events []platformEvent
	for _, object := range p.state.objects[kind] {
		events = append(events, platformEvent{Type: "ADDED", Object: object})
	}
	return p.state.revision, events
}

// watchBatch is what a watch has to send next.
type watchBatch struct {
	events []platformEvent
	// cursor is the revision up to which all changes are in events or were sent before.
	cursor uint64
	// changed is closed at the next change.
	changed chan struct{}
	// ended closes the watch at once, expired after the events are sent.
	ended, expired bool
}

func (p *Platform) changesAfter(cursor uint64, kind string) watchBatch {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	batch := watchBatch{cursor: cursor, changed: p.changed}
	outside := cursor < p.compacted || cursor > p.state.revision
	switch {
	case p.faults.Watches == WatchesSilent:
		return batch
	case p.faults.Down != Up && p.faults.DownAfter == 0:
		batch.ended = true
		return batch
	case outside || p.faults.Watches == WatchesExpire:
		batch.expired = true
		batch.events = []platformEvent{{Type: "ERROR"}}
		return batch
	}
	for _, event := range p.history {
		if event.revision <= cursor {
			continue
		}
		batch.cursor = event.revision
		if event.kind == kind && !event.skipped {
			batch.events = append(batch.events, event)
		}
	}
	batch.ended = p.faults.Watches == WatchesLapse && len(batch.events) > 0
	return batch
}

func (p *Platform) sendBookmark(stream *watchStream, kind string, cursor uint64) bool {
	switch p.Faults().Watches {
	case WatchesSilent:
		return true
	case WatchesLapse:
		return false
	default:
		object := PlatformObject{Kind: kind, Metadata: PlatformMetadata{ResourceVersion: version(cursor)}}
		return stream.send([]platformEvent{{Type: "BOOKMARK", Object: object}})
	}
}

// watchStream writes events to one client.
type watchStream struct {
	encoder *json.Encoder
	flusher *http.ResponseController
}

// send writes and flushes events. It reports whether all writes succeeded.
func (s *watchStream) send(events []platformEvent) bool {
	for _, event := range events {
		if s.encoder.Encode(event) != nil {
			return false
		}
	}
	return s.flusher.Flush() == nil
}
