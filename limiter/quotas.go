package limiter

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/assigner"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/logger"
)

// QuotaTopic is the gossip topic of the rates that back ends name.
const QuotaTopic = "quotas"

const (
	// extraSenders is how many nodes beyond the requests a second that a back end takes may
	// send to it. Each sender may save up one request, so that fewer senders make bursts
	// smaller, and more spread the requests better over the nodes.
	extraSenders = 2
	// seatTime is how long a lost node still counts as a sender: it may have lost only the
	// other nodes, and go on sending.
	seatTime = 8 * time.Second
	// cutOffTime is how long ago a node may have lost others for them to count as lost at once.
	cutOffTime = time.Minute
	// quotaLifetime is how long a rate holds that no answer and no node has confirmed. The
	// senders notice its end at their next answer.
	quotaLifetime = time.Minute
	// tellInterval is after how long a node tells the others again of a rate that it hears.
	tellInterval = 20 * time.Second
	// tellChange is by what share a rate must change before the others are told of it.
	tellChange = 0.1
	// forgetQuotaAfter is how long a back end that names no rate is remembered, so that
	// messages about it stay in order.
	forgetQuotaAfter = 10 * time.Minute
	// seatInterval is the longest time between two choices of the senders.
	seatInterval = time.Second
)

// QuotaOptions configures Quotas.
type QuotaOptions struct {
	// View returns the membership view.
	View func() *assigner.View
	// Broadcast sends a payload to every other node, best effort; nil sends nothing.
	Broadcast func(topic string, payload []byte)
	// OnChange is called when a result of OwnerRate has changed; nil does nothing.
	OnChange func()
	// Log and Scope may be nil.
	Log   *logger.Logger
	Scope tally.Scope
}

// Quotas divides the rates that back ends name among the nodes of the fleet. A back end that
// takes few requests a second gets them from few nodes, which all nodes choose alike by
// rendezvous hashing; the others send it nothing. Nodes tell one another of a rate as soon as
// one has heard it, so that the others need not send a request to learn of it. It is safe for
// concurrent use.
type Quotas struct {
	options QuotaOptions
	refused tally.Counter

	// mutex guards the fields below.
	mutex sync.Mutex
	// quotas is by the short names that messages have.
	quotas map[identifier.Member]*quota
	// lostSince holds when this node first saw another one as dead.
	lostSince map[identifier.Node]time.Time
	// lostView is the view from which lostSince was made.
	lostView *assigner.View
}

// quota is what is known of one back end.
type quota struct {
	rate Rate
	// process is the start of the back end's process that named the rate.
	process time.Time
	// sequence counts the changes of the rate that nodes have told one another of.
	sequence uint64
	// heardAt is when an answer or another node last named the rate.
	heardAt time.Time
	// told is the rate that nodes last told one another, at toldAt.
	told   Rate
	toldAt time.Time
	// bucket has the requests that this node may send.
	bucket Bucket
	// share is this node's part of the rate, chosen by view at sharedAt.
	share    float64
	view     *assigner.View
	sharedAt time.Time
}

// quotaMessage tells other nodes of a rate.
type quotaMessage struct {
	Member   identifier.Member `json:"member"`
	Rate     Rate              `json:"rate"`
	Sequence uint64            `json:"sequence"`
	// Process is the start of the back end's process in Unix milliseconds; zero is unknown.
	Process int64 `json:"process"`
}

// NewQuotas returns quotas without limits.
func NewQuotas(options QuotaOptions) *Quotas {
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Broadcast == nil {
		options.Broadcast = func(string, []byte) {}
	}
	if options.OnChange == nil {
		options.OnChange = func() {}
	}
	return &Quotas{
		options:   options,
		refused:   options.Scope.SubScope("limiter").Counter("quota-refused"),
		quotas:    map[identifier.Member]*quota{},
		lostSince: map[identifier.Node]time.Time{},
	}
}

// Named records that an answer to a request sent at sentAt named a rate, in requests a second
// from all nodes together, or none if rate is zero. process is the start of the back end's
// process. It reports whether the other nodes were told because the rate is new.
func (q *Quotas) Named(now, sentAt time.Time, member identifier.Member, process time.Time, rate Rate) (isNew bool) {
	message, changed := q.note(now, sentAt, member.Short(), process, rate)
	if message == nil {
		return false
	}
	if changed {
		q.options.OnChange()
	}
	if payload, err := json.Marshal(message); err == nil {
		q.options.Broadcast(QuotaTopic, payload)
	}
	return changed
}

// note is Named without the message to the other nodes, which it returns if there is one.
func (q *Quotas) note(now, sentAt time.Time, member identifier.Member, process time.Time, rate Rate) (message *quotaMessage, changed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := q.current(now, member, process)
	if rate == (Rate{}) && (known == nil || known.rate == (Rate{}) || sentAt.Before(known.heardAt)) {
		// An answer without a rate may be older than the rate.
		return nil, false
	}
	if known == nil {
		known = q.replace(now, member, process)
	}
	known.heardAt = now
	known.set(now, rate)
	told := known.told.PerSecond()
	changed = math.Abs(rate.PerSecond()-told) > tellChange*told || (rate == (Rate{})) != (known.told == (Rate{}))
	if !changed && now.Sub(known.toldAt) < tellInterval {
		return nil, false
	}
	known.sequence++
	known.told, known.toldAt = rate, now
	return &quotaMessage{Member: member, Rate: rate, Sequence: known.sequence, Process: unixMilliseconds(process)}, changed
}

const (
	// maxSequence is above any number of changes; a message with more would make nodes ignore
	// all later ones.
	maxSequence = 1 << 40
	// maxClockError is how far ahead of this node's clock the start of a process may be. A later
	// start would make nodes ignore all messages about processes of before.
	maxClockError = 24 * time.Hour
	// maxQuotas bounds the back ends of which other nodes can make this one remember a rate.
	maxQuotas = 1 << 12
)

// isSane reports whether a message can come from a sound node.
func (m *quotaMessage) isSane(now time.Time) bool {
	return m.Sequence <= maxSequence && m.Process >= 0 && m.Process <= now.Add(maxClockError).UnixMilli()
}

// replace starts the record of a back end's present process. The caller must hold the mutex.
func (q *Quotas) replace(now time.Time, member identifier.Member, process time.Time) *quota {
	maps.DeleteFunc(q.quotas, func(_ identifier.Member, known *quota) bool { return now.Sub(known.heardAt) >= forgetQuotaAfter })
	next := &quota{process: process}
	if earlier := q.quotas[member]; earlier != nil {
		next.sequence = earlier.sequence
	}
	q.quotas[member] = next
	return next
}

// Receive applies another node's message, which was sent age ago. It logs and drops one that it
// cannot decode.
func (q *Quotas) Receive(payload []byte, age time.Duration) {
	var message quotaMessage
	if err := json.Unmarshal(payload, &message); err != nil || !message.isSane(time.Now()) {
		q.options.Log.Log(eventBadQuota, nil)
		return
	}
	if q.apply(message, max(0, age)) {
		q.options.OnChange()
	}
}

// apply records what another node tells and reports whether a rate has changed.
func (q *Quotas) apply(message quotaMessage, age time.Duration) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	process := time.UnixMilli(message.Process)
	known := q.quotas[message.Member]
	if age >= quotaLifetime || known != nil && message.Process != 0 && message.Process < unixMilliseconds(known.process) {
		return false
	}
	if known == nil && len(q.quotas) >= maxQuotas {
		return false
	}
	if known != nil && message.Sequence <= known.sequence && message.Process <= unixMilliseconds(known.process) {
		return false
	}
	if known == nil || unixMilliseconds(known.process) != message.Process {
		known = q.replace(now, message.Member, process)
	}
	heardAt := now.Add(-age)
	if known.heardAt.After(heardAt) {
		heardAt = known.heardAt
	}
	known.sequence, known.heardAt, known.told, known.toldAt = message.Sequence, heardAt, message.Rate, heardAt
	changed := known.rate != message.Rate
	known.set(now, message.Rate)
	return changed
}

func unixMilliseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// set sets the rate. A node has saved up nothing when a rate begins.
func (k *quota) set(now time.Time, rate Rate) {
	if k.rate == (Rate{}) || rate == (Rate{}) {
		k.bucket = Bucket{}
		k.bucket.Refill(now, 0)
	}
	if k.rate != rate {
		k.rate, k.view = rate, nil
	}
}

// current returns what is known of the back end's present process, or nil. The caller must
// hold the mutex.
func (q *Quotas) current(now time.Time, member identifier.Member, process time.Time) *quota {
	known := q.quotas[member]
	if known == nil || unixMilliseconds(known.process) != unixMilliseconds(process) && unixMilliseconds(process) != 0 || now.Sub(known.heardAt) >= quotaLifetime {
		return nil
	}
	return known
}

// Take takes one request from this node's share of a back end's rate. It returns false if
// none is left.
func (q *Quotas) Take(now time.Time, member identifier.Member, process time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	member = member.Short()
	known := q.current(now, member, process)
	if known == nil || known.rate == (Rate{}) {
		return true
	}
	q.save(now, member, known)
	if !known.bucket.Ready() {
		q.refused.Inc(1)
		return false
	}
	known.bucket.Take()
	return true
}

// Allowance is what a node may send to a back end.
type Allowance struct {
	// Limited is set if the back end has named a rate.
	Limited bool
	// Never is set if this node may send it nothing, as far as is known.
	Never bool
	// Wait is how long it takes until Take succeeds; zero if it does now.
	Wait time.Duration
}

// Now reports whether a request may be sent now.
func (a Allowance) Now() bool { return !a.Never && a.Wait <= 0 }

// Allowance returns what this node may send to a back end.
func (q *Quotas) Allowance(now time.Time, member identifier.Member, process time.Time) Allowance {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	member = member.Short()
	known := q.current(now, member, process)
	if known == nil || known.rate == (Rate{}) {
		return Allowance{}
	}
	q.save(now, member, known)
	allowance := Allowance{Limited: true}
	switch {
	case known.bucket.Ready():
	case known.share <= 0:
		allowance.Never = true
	default:
		allowance.Wait = known.bucket.Wait(known.share)
	}
	return allowance
}

// OwnerRate returns how many requests a second a node that places all requests for a back end
// may place on it; zero means no limit.
func (q *Quotas) OwnerRate(now time.Time, member identifier.Member, process time.Time) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	member = member.Short()
	known := q.current(now, member, process)
	if known == nil {
		return 0
	}
	view := q.options.View()
	q.noteLost(now, view)
	if q.isCutOff(now, view) {
		return known.rate.PerSecond() / float64(max(1, len(view.Members)))
	}
	return known.rate.PerSecond()
}

// isCutOff reports whether this node has lately lost most others, and so has most likely been
// cut off from them. The caller must hold the mutex.
func (q *Quotas) isCutOff(now time.Time, view *assigner.View) bool {
	lost, lostEarlier := 0, 0
	for _, since := range q.lostSince {
		if now.Sub(since) < cutOffTime {
			lost++
		} else {
			lostEarlier++
		}
	}
	return 2*lost > len(view.Members)-lostEarlier
}

// Run calls OnChange when this node has lost most others or found them again, and when rates
// lapse, until ctx ends.
func (q *Quotas) Run(ctx context.Context) error {
	ticker := time.NewTicker(seatInterval)
	defer ticker.Stop()
	wasCutOff, earlier := false, 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		isCutOff, count := q.summary(time.Now())
		if isCutOff != wasCutOff && count > 0 || count != earlier {
			q.options.OnChange()
		}
		wasCutOff, earlier = isCutOff, count
	}
}

// summary returns whether this node is cut off and the number of back ends with a rate.
func (q *Quotas) summary(now time.Time) (isCutOff bool, count int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	view := q.options.View()
	q.noteLost(now, view)
	for _, known := range q.quotas {
		if known.rate != (Rate{}) && now.Sub(known.heardAt) < quotaLifetime {
			count++
		}
	}
	return q.isCutOff(now, view), count
}

// save raises the requests that this node may send. The caller must hold the mutex.
func (q *Quotas) save(now time.Time, member identifier.Member, known *quota) {
	view := q.options.View()
	if known.view != view || now.Sub(known.sharedAt) >= seatInterval {
		known.share = q.shareOf(now, view, member, known.rate)
		known.view, known.sharedAt = view, now
	}
	known.bucket.Refill(now, known.share)
}

// shareOf returns this node's part of a rate, in requests a second. The caller must hold the
// mutex.
func (q *Quotas) shareOf(now time.Time, view *assigner.View, member identifier.Member, rate Rate) float64 {
	if !view.CanOwnShards() {
		return 0
	}
	q.noteLost(now, view)
	cutOff := q.isCutOff(now, view)
	senders := view.Ranked("quota/"+string(member), int(rate.PerSecond())+extraSenders, func(m assigner.Member) bool {
		switch m.State {
		case assigner.Alive, assigner.Suspect:
			return true
		case assigner.Dead:
			return cutOff || now.Sub(q.lostSince[m.Node]) < seatTime
		default:
			return false
		}
	})
	for _, sender := range senders {
		if sender.Node == view.Self.Node {
			return rate.PerSecond() / float64(len(senders))
		}
	}
	return 0
}

// noteLost updates lostSince. The caller must hold the mutex.
func (q *Quotas) noteLost(now time.Time, view *assigner.View) {
	if q.lostView == view {
		return
	}
	q.lostView = view
	lost := map[identifier.Node]time.Time{}
	for _, m := range view.Members {
		if m.State != assigner.Dead {
			continue
		}
		lost[m.Node] = now
		if since, known := q.lostSince[m.Node]; known {
			lost[m.Node] = since
		}
	}
	q.lostSince = lost
}
