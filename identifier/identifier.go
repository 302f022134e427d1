// Package identifier defines a type for each kind of identifier and unit, so that the
// compiler rejects one passed in place of another.
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Node is the name of a router process on an entry VM, unique in the fleet.
type Node string

// Incarnation numbers the starts of a node; the largest is the current process.
type Incarnation uint64

// DataCentre is the name of a data centre.
type DataCentre string

// Pool is the name of a row of the pools table.
type Pool string

// Route is the name of a row of the routes table.
type Route string

// Member is the name of a backend server, unique within its pool.
type Member string

const (
	// maxShortMember is the length in bytes up to which messages between nodes have the name of a
	// member itself. They have room for 512 bytes.
	maxShortMember = 40
	// memberHashBytes is the part of a hash that takes the place of a longer name.
	memberHashBytes = 12
)

// Short returns the name, or a hash of one that is too long for messages between nodes, or would be
// when encoded. It is the same on all nodes.
func (m Member) Short() Member {
	isPlain := func(b byte) bool { return b > ' ' && b <= '~' && !strings.ContainsRune(`"\\<>&`, rune(b)) }
	if len(m) <= maxShortMember && !slices.ContainsFunc([]byte(m), func(b byte) bool { return !isPlain(b) }) {
		return m
	}
	digest := sha256.Sum256([]byte(m))
	return Member("#" + hex.EncodeToString(digest[:memberHashBytes]))
}

// Account is the name of a caller's account.
type Account string

// Model is the name of a language model.
type Model string

// Request identifies one request of a caller through all its attempts.
type Request string

// Attempt identifies one attempt to execute a request at a backend server. It differs
// between all attempts of a request.
type Attempt string

// Grant identifies a lease on engine memory. It is unique in the fleet.
type Grant string

// Key is the Idempotency-Key of a request that must not be executed twice.
type Key string

// Address is the IP address and port of a TCP listener.
type Address string

// Configuration numbers accepted snapshots of the pools and routes tables; zero is unset.
type Configuration uint64

// Fence is a fencing number. A backend server that checks it refuses an order whose
// number is smaller than one it has seen.
type Fence uint64

// Pieces counts pieces, the allocation unit of engine memory.
type Pieces int

// Tokens counts tokens of a prompt or of generated text.
type Tokens int

// BytesPerSecond is the transfer rate of a link.
type BytesPerSecond int64

// Capacity is how much a VM can carry for the fleet, in hundredths of what an owner of a
// shard of usual size needs.
type Capacity uint32

// Rank orders work: urgent work goes before normal work, and that before lesser work.
type Rank uint8

// The ranks, urgent first.
const (
	Urgent Rank = iota
	Normal
	Lesser
)

// Ranks lists all ranks, urgent first.
var Ranks = [...]Rank{Urgent, Normal, Lesser}

var rankNames = [...]string{Urgent: "urgent", Normal: "normal", Lesser: "lesser"}

// String returns the rank's name as written in the tables.
func (r Rank) String() string {
	if int(r) < len(rankNames) {
		return rankNames[r]
	}
	return fmt.Sprintf("rank-%d", uint8(r))
}

// MarshalText returns the rank's name.
func (r Rank) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText parses a rank's name. It fails for unknown names.
func (r *Rank) UnmarshalText(text []byte) error {
	for rank, name := range rankNames {
		if name == string(text) {
			*r = Rank(rank)
			return nil
		}
	}
	return fmt.Errorf("unknown rank %q, want urgent, normal or lesser", text)
}

// UnmarshalJSON parses a rank's name from a JSON string.
func (r *Rank) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("rank: %w", err)
	}
	return r.UnmarshalText([]byte(text))
}

// Role says what a member of a pool does.
type Role string

// The roles of pool members.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Service Role = "service"
)
