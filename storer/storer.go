// Package storer is the adapter to the platform's object API. Nothing outside
// it knows the API's wire format.
//
// The API follows the Kubernetes conventions: objects carry a resource version,
// an update names the version it replaces, and a watch streams the changes of
// one kind. Each call is counted by the platform, so callers share watches and
// group their writes.
package storer

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"
)

// Kind is the plural resource name of a kind of object.
type Kind string

// The kinds that foxtailspool keeps in the platform.
const (
	// KindTable holds the routes and the pools table as operators edit them.
	KindTable Kind = "tables"
	// KindSnapshot holds the accepted configuration.
	KindSnapshot Kind = "snapshots"
	// KindLedger holds the shards of the execution ledger.
	KindLedger Kind = "ledgers"
	// KindLease holds the leases of the senders of engine orders.
	KindLease Kind = "leases"
	// KindVM lists the live and leaving VMs; the platform writes it, late.
	KindVM Kind = "vms"
)

// Version is an object's resource version. It is opaque, and empty for an
// object that does not exist yet.
type Version string

// Object is one object of the platform.
type Object struct {
	Kind    Kind
	Name    string
	Version Version
	// Spec and Status are JSON objects or nil.
	Spec   json.RawMessage
	Status json.RawMessage
}

// Listing is all objects of a kind at one version, from which a watch can go on.
type Listing struct {
	Objects []Object
	Version Version
}

// Change says what an event tells about its object.
type Change string

// The changes of a watch.
const (
	Added    Change = "ADDED"
	Modified Change = "MODIFIED"
	Deleted  Change = "DELETED"
	// Bookmark carries a version only: nothing older is still to come.
	Bookmark Change = "BOOKMARK"
)

// Event is one change seen by a watch.
type Event struct {
	Change Change
	Object Object
}

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	List(ctx context.Context, kind Kind) (Listing, error)
	// Create stores a new object; Conflict when the name is taken.
	Create(ctx context.Context, object Object) (Object, error)
	// Update replaces the object of the given version; Conflict when the
	// stored version is another.
	Update(ctx context.Context, object Object) (Object, error)
	// Delete removes the object of the given version.
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
	// NotFound: the object does not exist.
	NotFound = Errors.NewType("not-found")
	// Conflict: the object exists already or has another version. The call had
	// no effect, unless an earlier lost answer of the same write did.
	Conflict = Errors.NewType("conflict")
	// Expired: the version to watch from is no longer kept; list again.
	Expired = Errors.NewType("expired")
	// Invalid: the platform refused the call as malformed; it had no effect.
	Invalid = Errors.NewType("invalid")
	// Unavailable: the call was not taken and had no effect.
	Unavailable = Errors.NewType("unavailable")
	// Uncertain: the answer was lost; a write may have taken effect.
	Uncertain = Errors.NewType("uncertain")
)
