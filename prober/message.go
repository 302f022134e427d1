package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// The bounds of one message.
const (
	messageRecords  = 48
	messageProgress = 128
	messageRumours  = 8
	// repairRecords bounds the answer to a repair; the next repair gets the rest.
	repairRecords = 512
	repairRumours = 64
	// progressTold is how often a node passes on another's configuration.
	progressTold = 3
)

// progress tells the configuration in force on a run of a node.
type progress struct {
	run           runID
	configuration identifier.Configuration
}

func progressOf(r record) progress {
	return progress{r.run(), r.member.Configuration}
}

// repair is what the other side needs to tell what its sender lacks.
type repair struct {
	buckets  digests
	progress digests
	rumours  []uint64
}

// message goes both ways in an exchange.
type message struct {
	sender record
	// to is the node that is meant, or empty where only its address is known.
	to identifier.Node
	// digest, progressDigest and rumourDigest cover what the sender holds.
	digest         uint64
	progressDigest uint64
	rumourDigest   uint64
	records        []record
	progress       []progress
	rumours        []rumour
	// repair is nil unless the sender wants all that differs.
	repair *repair
}

// contactID names one exchange that the machine asked for.
type contactID uint64

// method is the way in which an action reaches its target.
type method uint8

const (
	// overKept uses the connection that is kept to the target.
	overKept method = iota
	// overNew opens a connection for this exchange alone.
	overNew
	// through asks another node whether it reaches the target.
	through
)

// action is an exchange that the machine wants made. Its end is told with
// concluded, or probed for the method through.
type action struct {
	contact contactID
	method  method
	// address is where to send to; message is what, unless the method is through.
	address identifier.Address
	message message
	// target is whom the node at address is to probe, for the method through.
	target record
}

// ending is how an exchange ended.
type ending struct {
	// answer is nil when there was none in time.
	answer *message
	// refused: the address refused the connection.
	refused bool
}

// finding is what a helper found of a target.
type finding struct {
	answered bool
	// refused: the target's address refused the helper's connection.
	refused bool
}

// note is an event to be logged.
type note struct {
	event  logger.Event
	fields logger.Fields
}

// output is what the machine wants done, collected until it is taken.
type output struct {
	actions []action
	notes   []note
	// heard are the rumours that are new to this node.
	heard []rumour
	// viewChanged tells that the view must be built again.
	viewChanged bool
}

// note adds an event.
func (o *output) note(event logger.Event, fields logger.Fields) {
	o.notes = append(o.notes, note{event, fields})
}

// deadline is a point of time that is set or not.
type deadline struct {
	time.Time
}

func (d deadline) passed(now time.Time) bool {
	return !d.IsZero() && !now.Before(d.Time)
}
