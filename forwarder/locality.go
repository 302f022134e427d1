package forwarder

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
)

const (
	// elsewhereCost is the cost of a back end outside the data centre that was chosen for a
	// request. It exceeds the costs of delays and of requests in flight, and is less than that of
	// a faulty back end.
	elsewhereCost = 50
	// quietFallWeight is the weight of an answer that is quicker than the quiet time, and
	// quietRiseWeight that of a slower one, so that the quiet time is that of the quickest answers.
	quietFallWeight = 0.3
	quietRiseWeight = 0.01
	// probeAfter is the number of answers after which a node sends one request to another data
	// centre if it has had no answer from there: where servers at home have been busy since the
	// node's start, their own answers don't show that they are. probeInterval is the time until
	// the next one if no answer came.
	probeAfter    = 10
	probeInterval = 30 * time.Second
	// bytesWeight is the weight of a request in the average size.
	bytesWeight = 0.1
)

// plainPace is the pace of plain services, whose servers hold few requests: a full server's wait is
// some hundred milliseconds, and requests in flight show a wait before an answer does. Of the paces
// in docs/design/zones.md, slower ones leave more requests late in bursts.
var plainPace = localizer.Pace{HalfGain: 50 * time.Millisecond, RisePerSecond: 2, FallPerSecond: 0.2, UnknownShare: 0.2}

// locality decides for each pool of a plain service how many requests of this node leave its
// data centre. The balancer's mutex guards it.
type locality struct {
	price localizer.Price
	log   *logger.Logger
	scope tally.Scope
	pools map[identifier.Pool]*poolLocality
}

// poolLocality is the evidence and the decision for one pool.
type poolLocality struct {
	decision  localizer.Decision
	report    localizer.Report
	decidedAt time.Time
	// quiet is the time of an answer in seconds that waits for nothing; zero means unknown.
	quiet float64
	// bytes is the average size of a request and its answer.
	bytes float64
	// answers is the number of good answers, and seenAway set once one came from another data
	// centre. probedAt is when a request was last sent there to get one.
	answers  int
	seenAway bool
	probedAt time.Time
}

func newLocality(price localizer.Price, log *logger.Logger, scope tally.Scope) *locality {
	return &locality{price: price, log: log, scope: scope, pools: map[identifier.Pool]*poolLocality{}}
}

func (l *locality) poolOf(name identifier.Pool) *poolLocality {
	pool := l.pools[name]
	if pool == nil {
		pool = &poolLocality{}
		l.pools[name] = pool
	}
	return pool
}

// recordAnswerTime records the time of a good answer.
func (p *poolLocality) recordAnswerTime(took time.Duration) {
	seconds := took.Seconds()
	p.answers++
	switch {
	case p.quiet <= 0:
		p.quiet = seconds
	case seconds < p.quiet:
		p.quiet += (seconds - p.quiet) * quietFallWeight
	default:
		p.quiet += (seconds - p.quiet) * quietRiseWeight
	}
}

// recordBytes records the size of an answered request, and counts whether it left the data centre.
func (b *balancer) recordBytes(backend Backend, dataCentre identifier.DataCentre, bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.locality == nil {
		return
	}
	pool := b.locality.poolOf(backend.Pool)
	if pool.bytes <= 0 {
		pool.bytes = float64(bytes)
	}
	pool.bytes += (float64(bytes) - pool.bytes) * bytesWeight
	pool.seenAway = pool.seenAway || backend.DataCentre != dataCentre
	localizer.Count(b.locality.scope, backend.Role, backend.DataCentre != dataCentre, int64(bytes))
}

// chooseDataCentre returns the data centre whose back ends a request should use. It returns false
// if that is not decided, since there is no price or too little is known. The caller must hold
// the mutex.
func (b *balancer) chooseDataCentre(now time.Time, list []Backend, home identifier.DataCentre, rotation uint64) (chosen identifier.DataCentre, decided bool) {
	if b.locality == nil || len(list) == 0 {
		return "", false
	}
	pool := b.locality.poolOf(list[0].Pool)
	in := b.localityInput(now, list, pool, home)
	elapsed := time.Duration(0)
	if !pool.decidedAt.IsZero() {
		elapsed = now.Sub(pool.decidedAt)
	}
	pool.decision = pool.decision.Next(elapsed, in)
	pool.decidedAt = now
	localizer.LogChange(b.locality.log, pool.report.Update(&pool.decision), list[0].Pool, list[0].Role, in, &pool.decision)
	localizer.UpdateShare(b.locality.scope, list[0].Pool, list[0].Role, &pool.decision)
	if !pool.decision.Known() {
		return "", false
	}
	if destination, leaves := pool.decision.Choose(localizer.Spread(rotation)); leaves {
		return destination, true
	}
	if len(in.Others) > 0 && pool.takeProbe(now) {
		return in.Others[rotation%uint64(len(in.Others))].DataCentre, true
	}
	return home, true
}

// takeProbe reports whether a request should go to another data centre to learn how quick an
// answer can be.
func (p *poolLocality) takeProbe(now time.Time) bool {
	if p.seenAway || p.answers < probeAfter || now.Sub(p.probedAt) < probeInterval {
		return false
	}
	p.probedAt = now
	return true
}

// localityInput returns the evidence for a decision, from the answers of the back ends of each
// data centre that take requests. The time of the path is part of the answer times. The caller
// must hold the mutex.
func (b *balancer) localityInput(now time.Time, list []Backend, pool *poolLocality, home identifier.DataCentre) localizer.Input {
	type site struct {
		name  identifier.DataCentre
		times sendTimes
		// servers is the number of back ends, and inFlight this node's unfinished requests there.
		servers, inFlight float64
	}
	var sites []site
	for _, backend := range list {
		r := b.statsFor(backend)
		if !r.accepts(now) {
			continue
		}
		r.decay(now)
		at := slices.IndexFunc(sites, func(s site) bool { return s.name == backend.DataCentre })
		if at < 0 {
			at = len(sites)
			sites = append(sites, site{name: backend.DataCentre})
		}
		sites[at].times.merge(r.times)
		sites[at].servers++
		sites[at].inFlight += float64(r.inFlight)
	}
	in := localizer.Input{Bytes: pool.bytes, Price: b.locality.price, Pace: plainPace}
	for _, s := range sites {
		known := localizer.Site{DataCentre: s.name, Samples: s.times.answers + s.times.declined + s.times.unfinished}
		if pool.quiet <= 0 {
			known.Samples = 0
		}
		// Requests in flight beyond those that this node has while nothing waits show a wait before
		// their answers do.
		usual := s.times.answers / delayDecayTime.Seconds() * pool.quiet
		wait := max(0, s.times.expected(pool.quiet)-pool.quiet) + pool.quiet*max(0, s.inFlight-usual)/s.servers
		known.Wait = time.Duration(wait * float64(time.Second))
		if s.name == home {
			in.Home = &known
		} else {
			in.Others = append(in.Others, known)
		}
	}
	return in
}

// merge adds the evidence of another back end.
func (s *sendTimes) merge(other sendTimes) {
	s.answers += other.answers
	s.seconds += other.seconds
	s.unfinished += other.unfinished
	s.unfinishedSeconds += other.unfinishedSeconds
	s.declined += other.declined
}
