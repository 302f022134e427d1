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

// TableState says what became of a table object's content.
type TableState string

// The states of table objects.
const (
	// TableUnseen: nobody has looked at the content yet.
	TableUnseen TableState = ""
	// TableProposed: an Apply wrote the content and is not through.
	TableProposed TableState = "proposed"
	// TableAccepted: the content is in the accepted configuration.
	TableAccepted TableState = "accepted"
	// TableRefused: the content is not in force, for the reason given.
	TableRefused TableState = "refused"
)

// TableStatus is the status of a table object.
type TableStatus struct {
	State TableState `json:"state"`
	// Table is the digest of the content that the status is about. A status of
	// another digest than the content's is out of date.
	Table tabulator.Digest `json:"table-digest"`
	// Configuration is the number that holds the content when accepted, and the
	// one in force when refused.
	Configuration identifier.Configuration `json:"configuration,omitempty"`
	Reason        string                   `json:"reason,omitempty"`
	// Node and Attempt tell who wrote the content, when it was an Apply.
	Node    identifier.Node `json:"node,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	// Awaits is the digest of the other table that an Apply of both wrote with
	// this one. Without it this content is never joined, so that no half of an
	// edit of both tables comes into force.
	Awaits *tabulator.Digest `json:"awaits,omitempty"`
	// RefusedApply tells of the latest Apply that was refused. It left the
	// content as it is.
	RefusedApply string `json:"refused-apply,omitempty"`
}

// StoredTable is a table object as it was read.
type StoredTable[T tabulator.Routes | tabulator.Pools] struct {
	// Exists is false, and the rest zero, when there is no such object.
	Exists bool
	// Version is the object's version in the platform.
	Version storer.Version
	// Content is the digest of the table. An Apply names the one it was made
	// from; unlike the version it does not change with the status.
	Content tabulator.Digest
	Table   T
	// Fault tells why the content is no table, or is empty.
	Fault  string
	Status TableStatus

	object storer.Object
	text   []byte
}

// Tables are both table objects.
type Tables struct {
	Routes StoredTable[tabulator.Routes]
	Pools  StoredTable[tabulator.Pools]
	// Accepted is the number of the stored snapshot, zero for none.
	Accepted identifier.Configuration
	// InForce is the number that this node has in force.
	InForce identifier.Configuration

	snapshot storedSnapshot
}

// Tables reads both tables with their versions and status. The snapshot is read
// first: its edits are then in the tables read after it, so that a snapshot
// joined from them on condition of its version takes no accepted edit back.
func (p *Publisher) Tables(ctx context.Context) (Tables, error) {
	snapshot, err := p.loadStored(ctx)
	if err != nil && !isNotFound(err) {
		return Tables{}, err
	}
	listing, err := p.options.Store.List(ctx, storer.KindTable)
	if err != nil {
		return Tables{}, err
	}
	tables := readTables(listing.Objects)
	tables.InForce = p.held().number
	tables.Accepted = snapshot.number()
	tables.snapshot = snapshot
	return tables, nil
}

func readTables(objects []storer.Object) Tables {
	var tables Tables
	for _, object := range objects {
		switch object.Name {
		case RoutesName:
			tables.Routes = readTable[tabulator.Routes](object)
		case PoolsName:
			tables.Pools = readTable[tabulator.Pools](object)
		}
	}
	return tables
}

func readTable[T tabulator.Routes | tabulator.Pools](object storer.Object) StoredTable[T] {
	stored := StoredTable[T]{Exists: true, Version: object.Version, object: object}
	table, err := tabulator.ParseJSON[T](object.Spec)
	if err != nil {
		stored.Fault = err.Error()
		stored.text = compacted(object.Spec)
	} else {
		stored.Table = table
		stored.text = tabulator.Encode(table)
	}
	stored.Content = tabulator.DigestOf(stored.text)
	if len(object.Status) > 0 && json.Unmarshal(object.Status, &stored.Status) != nil {
		stored.Status = TableStatus{}
	}
	if stored.Status.Table != stored.Content {
		// The status is about an earlier content, except the note on an Apply.
		stored.Status = TableStatus{RefusedApply: stored.Status.RefusedApply}
	}
	return stored
}

// withStatus returns the object with the same content and another status.
func (s StoredTable[T]) withStatus(status TableStatus) storer.Object {
	object := s.object
	status.Table = s.Content
	object.Status = encodeStatus(status)
	return object
}

// withContent returns the object, or a new one, with another content.
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

// compacted removes the space that the platform may add to a spec.
func compacted(spec []byte) []byte {
	var text bytes.Buffer
	if json.Compact(&text, spec) != nil {
		return spec
	}
	return text.Bytes()
}

// attemptOf returns the attempt that wrote a table object.
func attemptOf(object storer.Object) string {
	var status TableStatus
	if json.Unmarshal(object.Status, &status) != nil {
		return ""
	}
	return status.Attempt
}

func isNotFound(err error) bool {
	return err != nil && errorx.IsOfType(err, storer.NotFound)
}
