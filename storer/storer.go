// Package storer is the client of the platform's object API. It encapsulates the
// API's wire format.
//
// The API follows the Kubernetes conventions: objects have a resource version, an
// update names the version that it replaces, and a watch streams the changes of
// one kind. The platform counts every call, so callers should share watches and
// batch writes.
package storer

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"
)

// Kind is the plural resource name of an object type.
type Kind string

// The kinds that foxtailspool keeps in the platform.
const (
	// KindTable is for the routes and pools tables, which operators edit.
	KindTable Kind = "tables"
	// KindSnapshot is for the accepted configuration.
	KindSnapshot Kind = "snapshots"
	// KindLedger is for the shards of the execution ledger.
	KindLedger Kind = "ledgers"
	// KindLease is for the lease of the node that changes engines' roles and models.
	KindLease Kind = "leases"
	// KindVM is for live and leaving VMs. The platform writes it with a delay.
	KindVM Kind = "vms"
)

// Version is an opaque resource version. It is empty for an object that does not
// exist yet.
type Version string

// Generation counts how often the store was restored from a backup. A restore takes back
// the latest changes and gives their versions out again.
type Generation uint64

// Object is one object in the store.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	// Spec and Status are JSON objects or nil.
	Spec   json.RawMessage
	Status json.RawMessage
}

// Listing contains all objects of a kind and the version to start a watch from.
type Listing struct {
	Objects []Object
	Version Version
}

// SizeBytes returns the size of the objects' content.
func (l Listing) SizeBytes() int {
	total := 0
	for _, object := range l.Objects {
		total += len(object.Spec) + len(object.Status)
	}
	return total
}

// Change is the type of a watch event.
type Change string

// The changes of a watch.
const (
	Added    Change = "ADDED"
	Modified Change = "MODIFIED"
	Deleted  Change = "DELETED"
	// Bookmark has only a version: all changes up to it have been sent.
	Bookmark Change = "BOOKMARK"
)

// Event is one change of an object, or a bookmark.
type Event struct {
	Change Change
	Object Object
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	List(ctx context.Context, kind Kind) (Listing, error)
	// Create stores a new object. It fails with Conflict if the name exists.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces the object of the given version. It fails with Conflict if
	// the stored version differs.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object. It fails with Conflict if the version differs.
	Delete(ctx context.Context, object Object) error
	// Watch streams the changes of a kind after a version until ctx ends.
	Watch(ctx context.Context, kind Kind, after Version) (Watch, error)
}

// Watch is a stream of changes.
type Watch interface {
	// Next waits for the next event. After an error the watch is closed.
	Next() (Event, error)
	// Close ends the watch and its connection.
	Close()
}

// Errors is the namespace of this package's error types.
var Errors = errorx.NewNamespace("platform")

// The error types of the platform. Test with errorx.IsOfType.
var (
	// NotFound means that the object does not exist.
	NotFound = Errors.NewType("not-found")
	// Conflict means that the object exists already or has another version. The
	// call had no effect, but an earlier try whose answer was lost may have had one.
	Conflict = Errors.NewType("conflict")
	// Expired means that the version to watch from is no longer kept. List again.
	Expired = Errors.NewType("expired")
	// Invalid means that the platform refused a malformed call without effect.
	Invalid = Errors.NewType("invalid")
	// Unavailable means that the platform did not process the call.
	Unavailable = Errors.NewType("unavailable")
	// Uncertain means that the answer was lost. A write may have taken effect.
	Uncertain = Errors.NewType("uncertain")
)
