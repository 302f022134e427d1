package publisher

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// The names of the two table objects.
const (
	RoutesName = "routes"
	PoolsName  = "pools"
)

// TableState is the acceptance state of a table object's content.
type TableState string

// The states of table objects.
const (
	// TableUnseen means that no node has processed the content yet.
	TableUnseen TableState = ""
	// TableProposed means that an Apply wrote the content and has not finished.
	TableProposed TableState = "proposed"
	// TableAccepted means that the content is in the accepted configuration.
	TableAccepted TableState = "accepted"
	// TableRefused means that the content is not active; see Reason.
	TableRefused TableState = "refused"
)

// TableStatus is the status of a table object.
type TableStatus struct {
	State TableState `json:"state"`
	// Table is the digest of the content that the status describes. If it differs
	// from the object's content, the status is stale.
	Table tabulator.Digest `json:"table-digest"`
	// Configuration is the number of the configuration with the content if
	// accepted, and the number active at the time if refused.
	Configuration identifier.Configuration `json:"configuration,omitempty"`
	Reason        string                   `json:"reason,omitempty"`
	// Node and Attempt identify the Apply that wrote the content. They are empty
	// if the object was edited directly.
	Node    identifier.Node `json:"node,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	// Awaits is the digest of the other table if one Apply wrote both. This content
	// is accepted only together with that table, so that an edit of both tables is
	// never half active.
	Awaits *tabulator.Digest `json:"awaits,omitempty"`
	// RefusedApply describes the latest refused Apply, which changed no content.
	RefusedApply string `json:"refused-apply,omitempty"`
}

// StoredTable is a table object as read.
type StoredTable[T tabulator.Routes | tabulator.Pools] struct {
	// Exists is false if there is no such object; all other fields are then zero.
	Exists bool
	// Version is the object's version in the platform.
	Version storer.Version
	// Content is the digest of the table. An ApplyRequest names the digest that
	// it is based on because, unlike Version, it does not change with the status.
	Content tabulator.Digest
	Table   T
	// Fault explains why the content is not a valid table, or is empty.
	Fault  string
	Status TableStatus

	object storer.Object
	text   []byte
}

// Tables contains both table objects as read.
type Tables struct {
	Routes StoredTable[tabulator.Routes]
	Pools  StoredTable[tabulator.Pools]
	// Accepted is the number of the stored snapshot, or zero if there is none.
	Accepted identifier.Configuration
	// Active is the number of the configuration that is active on this node.
	Active identifier.Configuration

	snapshot storedSnapshot
}

// Tables reads both tables with their versions and status. It reads the snapshot
// first, so that the tables contain every edit of that snapshot. A snapshot that
// is joined from these tables, and written on condition of the old snapshot's
// version, therefore reverts no accepted edit.
func (p *Publisher) Tables(ctx context.Context) (Tables, error) {
	snapshot, err := p.loadStored(ctx)
	if err != nil && !isNotFound(err) {
		return Tables{}, err
	}
	listing, err := p.options.Store.List(ctx, storer.KindTable)
	if err != nil {
		return Tables{}, err
	}
	tables := decodeTables(listing.Objects)
	tables.Active = p.activeStamp().number
	tables.Accepted = snapshot.number()
	tables.snapshot = snapshot
	return tables, nil
}

func decodeTables(objects []storer.Object) Tables {
	var tables Tables
	for _, object := range objects {
		switch object.Name {
		case RoutesName:
			tables.Routes = decodeTable[tabulator.Routes](object)
		case PoolsName:
			tables.Pools = decodeTable[tabulator.Pools](object)
		}
	}
	return tables
}

func decodeTable[T tabulator.Routes | tabulator.Pools](object storer.Object) StoredTable[T] {
	stored := StoredTable[T]{Exists: true, Version: object.Version, object: object}
	table, err := tabulator.ParseJSON[T](object.Spec)
	if err != nil {
		stored.Fault = err.Error()
		stored.text = compactJSON(object.Spec)
	} else {
		stored.Table = table
		stored.text = tabulator.Encode(table)
	}
	stored.Content = tabulator.DigestOf(stored.text)
	if len(object.Status) > 0 && json.Unmarshal(object.Status, &stored.Status) != nil {
		stored.Status = TableStatus{}
	}
	if stored.Status.Table != stored.Content {
		// The status describes an earlier content; only RefusedApply stays valid.
		stored.Status = TableStatus{RefusedApply: stored.Status.RefusedApply}
	}
	return stored
}

// withStatus returns the object with a new status and the same content.
func (s StoredTable[T]) withStatus(status TableStatus) storer.Object {
	object := s.object
	status.Table = s.Content
	object.Status = encodeStatus(status)
	return object
}

// withContent returns the object, or a new one, with a new content and status.
func (s StoredTable[T]) withContent(name string, text []byte, status TableStatus) storer.Object {
	status.Table = tabulator.DigestOf(text)
	return storer.Object{
		Kind:    storer.KindTable,
		Name:    name,
		Version: s.object.Version,
		Spec:    text,
		Status:  encodeStatus(status),
	}
}

func encodeStatus(status TableStatus) json.RawMessage {
	encoded, err := json.Marshal(status)
	if err != nil {
		panic("a status cannot be written as JSON: " + err.Error())
	}
	return encoded
}

// compactJSON removes the whitespace that the platform may add to a spec.
func compactJSON(spec []byte) []byte {
	var text bytes.Buffer
	if json.Compact(&text, spec) != nil {
		return spec
	}
	return text.Bytes()
}

// attemptFromStatus returns the attempt that wrote a table object, or an empty string.
func attemptFromStatus(object storer.Object) string {
	var status TableStatus
	if json.Unmarshal(object.Status, &status) != nil {
		return ""
	}
	return status.Attempt
}

func isNotFound(err error) bool {
	return err != nil && errorx.IsOfType(err, storer.NotFound)
}
