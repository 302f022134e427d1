package prober

import (
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// Limits on the contents of messages.
const (
	maxMessageRecords        = 48
	maxMessageConfigurations = 128
	maxMessageRumours        = 24
	// maxRepairRecords limits the records sent for one request. The next one gets the rest.
	maxRepairRecords = 512
	maxRepairRumours = 64
	// configurationTransmissions is how often a node passes on one configuration update.
	configurationTransmissions = 3
)

// runConfiguration is the configuration in force on one run of a node.
type runConfiguration struct {
	run           runID
	configuration identifier.Configuration
}

func runConfigurationOf(r record) runConfiguration {
	return runConfiguration{r.runID(), r.member.Configuration}
}

// repairRequest describes what the sender holds, so that the peer can send what is missing.
type repairRequest struct {
	recordDigests        bucketDigests
	configurationDigests bucketDigests
	rumourIDs            []uint64
}

// message is the request and the response of an exchange.
type message struct {
	sender record
	// recipient is the intended node, or empty if only its address is known.
	recipient identifier.Node
	// digest covers the live records.
	digest uint64
	// configurationDigest covers the configurations in force on the live nodes.
	configurationDigest uint64
	// rumourDigest covers the rumours that do not expire soon.
	rumourDigest   uint64
	records        []record
	configurations []runConfiguration
	rumours        []rumour
	// repair is nil unless the sender requests everything that differs.
	repair *repairRequest
}

type contactID uint64

// contactMethod is a way to reach a target. The methods are tried in ascending order.
type contactMethod uint8

const (
	// overPooledConnection uses the transport that keeps connections open.
	overPooledConnection contactMethod = iota
	// overNewConnection opens a connection for this exchange alone.
	overNewConnection
	// viaHelper asks another node to probe the target.
	viaHelper
)

// action is a request that the state machine wants sent. Its result is passed to
// exchangeEnded, or to helperAnswered for the method viaHelper.
type action struct {
	contact contactID
	method  contactMethod
	// address is the destination of the request.
	address identifier.Address
	// message is the request; unused for viaHelper.
	message message
	// target is the node that the helper at address probes; only set for viaHelper.
	target record
}

type exchangeResult struct {
	// answer is nil if the exchange failed or timed out.
	answer *message
	// refused is set if the address refused the connection.
	refused bool
}

type helperResult struct {
	answered bool
	// refused is set if the target's address refused the helper's connection.
	refused bool
}

type loggedEvent struct {
	event  logger.Event
	fields logger.Fields
}

// output collects the work that the state machine requests until takeOutput is called.
type output struct {
	actions     []action
	events      []loggedEvent
	newRumours  []rumour
	viewChanged bool
}

func (o *output) logEvent(event logger.Event, fields logger.Fields) {
	o.events = append(o.events, loggedEvent{event, fields})
}

// deadline is a point in time; zero means not set.
type deadline struct {
	time.Time
}

func (d deadline) passed(now time.Time) bool {
	return !d.IsZero() && !now.Before(d.Time)
}
