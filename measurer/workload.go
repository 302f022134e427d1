package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// lengths is a log-normal distribution of token counts.
type lengths struct {
	median float64
	sigma  float64
	least  float64
	most   float64
}

func (l lengths) sample(random *rand.Rand) identifier.Tokens {
	drawn := l.median * math.Exp(l.sigma*random.NormFloat64())
	return identifier.Tokens(min(max(drawn, l.least), l.most))
}

// traffic is the work of one rank.
type traffic struct {
	// fraction is this rank's fraction of the arrivals.
	fraction float64
	prompts  lengths
	outputs  lengths
	// firstTokenAt and betweenTokens are the latency targets.
	firstTokenAt  time.Duration
	betweenTokens time.Duration
}

// Setting is a site of the users: its engines, nodes and traffic.
type Setting struct {
	// Name is shown in the report.
	Name           string
	nodes          int
	dataCentres    []identifier.DataCentre
	prefillEngines int
	decodeEngines  int
	// decodePieces is the memory of a decode engine.
	decodePieces identifier.Pieces
	traffic      [len(identifier.Ranks)]traffic
	// lesserShare is the configured minimum share of lesser work.
	lesserShare float64
}

// The engines' physics, alike in both settings.
const (
	pieceTokens     identifier.Tokens         = 2000
	kvBytesPerToken int64                     = 131_072
	prefillRate     identifier.Tokens         = 24_000
	linkRate        identifier.BytesPerSecond = 5_000_000_000
	// baseStepTime and stepPerStream make the time between two tokens.
	baseStepTime      = 25 * time.Millisecond
	stepTimePerStream = time.Millisecond
	// fullBatchStreams is the streams of a full decode engine.
	fullBatchStreams = 20
	// evictAfter is how long a prefill engine keeps an unclaimed KV cache.
	evictAfter = 800 * time.Millisecond
	// messageDelay is the time of one message between nodes or to an engine.
	messageDelay = time.Millisecond
)

// Settings are the two firms.
var Settings = []Setting{
	{
		Name: "abazhur", nodes: 8, prefillEngines: 3, decodeEngines: 6, decodePieces: 60, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"plovdiv", "stara-zagora", "haskovo"},
		traffic: [2]traffic{
			identifier.Urgent: {
				fraction:     0.3,
				prompts:      lengths{median: 1800, sigma: 0.9, least: 30, most: 9000},
				outputs:      lengths{median: 180, sigma: 0.7, least: 10, most: 1500},
				firstTokenAt: time.Second, betweenTokens: 76 * time.Millisecond,
			},
			identifier.Lesser: {
				fraction:     0.7,
				prompts:      lengths{median: 3500, sigma: 1.1, least: 30, most: 40_000},
				outputs:      lengths{median: 180, sigma: 0.7, least: 10, most: 1500},
				firstTokenAt: 6 * time.Second, betweenTokens: 150 * time.Millisecond,
			},
		},
	},
	{
		Name: "hidalgo", nodes: 6, prefillEngines: 4, decodeEngines: 8, decodePieces: 85, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"heredia", "cartago", "alajuela"},
		traffic: [2]traffic{
			identifier.Urgent: {
				fraction:     0.4,
				prompts:      lengths{median: 4000, sigma: 0.9, least: 50, most: 25_000},
				outputs:      lengths{median: 250, sigma: 0.6, least: 20, most: 2000},
				firstTokenAt: 2500 * time.Millisecond, betweenTokens: 100 * time.Millisecond,
			},
			identifier.Lesser: {
				fraction:     0.6,
				prompts:      lengths{median: 5000, sigma: 1, least: 50, most: 40_000},
				outputs:      lengths{median: 250, sigma: 0.6, least: 20, most: 2000},
				firstTokenAt: 12 * time.Second, betweenTokens: 200 * time.Millisecond,
			},
		},
	},
}

// The prompts that share their beginning.
const (
	templates              = 50
	templatedFraction      = 0.3
	templatePromptFraction = 0.4
	prefixBlock            = int(placer.PrefixBlock)
	accounts               = 40
	// addressLifetime is how long an account's callers keep the address of a node.
	addressLifetime = 30 * time.Second
	burstFactor     = 1.8
	calmFactor      = 0.8
	burstDuration   = 2 * time.Second
	calmDuration    = 8 * time.Second
)

// request is one request of a caller on its way through the fakes.
type request struct {
	id      int
	rank    identifier.Rank
	account int
	node    int
	prompt  identifier.Tokens
	output  identifier.Tokens
	// prefixes are the hashes of the shared leading blocks.
	prefixes  []uint64
	traffic   *traffic
	arrivedAt time.Duration
	// attempt counts the placements; generated is the output of earlier ones.
	attempt   uint64
	generated identifier.Tokens
	// first and ended are when the first and the last token came.
	first   time.Duration
	endedAt time.Duration
	state   state
	// shard is where the request is asked for, moved that it was refused elsewhere.
	shard          int
	triedElsewhere bool
	// cause is why a request that was not run was refused.
	cause cause
	// waiting requests were asked for at asked; counted ones have waited long.
	waiting        bool
	countedWaiting bool
	waitingSince   time.Duration
}

type state uint8

const (
	pending state = iota
	answered
	notRun
	failed
)

// deadline is when the first token is due.
func (r *request) deadline() time.Duration {
	return r.arrivedAt + r.traffic.firstTokenAt
}

// metTargets tells whether a request was answered within both targets.
func (r *request) metTargets() bool {
	if r.state != answered || r.first > r.deadline() {
		return false
	}
	return float64(r.endedAt-r.first) <= float64(r.traffic.betweenTokens)*float64(max(1, r.output-1))
}

// drawAccount picks an account; the k-th largest has a k-th of the largest's work.
func drawAccount(random *rand.Rand) int {
	return int(math.Pow(accounts+1, random.Float64())) - 1
}

// drawRequest makes one request of a rank.
func (s *Setting) drawRequest(random *rand.Rand, id int, rank identifier.Rank) *request {
	kind := &s.traffic[rank]
	r := &request{
		id:      id,
		rank:    rank,
		account: drawAccount(random),
		prompt:  kind.prompts.sample(random),
		output:  kind.outputs.sample(random),
		traffic: kind,
	}
	if random.Float64() < templatedFraction {
		template := uint64(random.IntN(templates))
		blocks := int(float64(r.prompt)*templatePromptFraction) / prefixBlock
		for block := range blocks {
			r.prefixes = append(r.prefixes, template<<32|uint64(block+1))
		}
	}
	return r
}

// nodeFor is the node that an account's callers use at a time. They were told
// it a while ago, each account at another moment.
func (s *Setting) nodeFor(account int, now time.Duration) int {
	period := (now + time.Duration(account)*addressLifetime/accounts) / addressLifetime
	random := rand.New(rand.NewPCG(uint64(account), uint64(period)))
	return random.IntN(s.nodes)
}

// capacity is the arrivals a second that the engines could just take.
func (s *Setting) capacity() float64 {
	const samples = 20_000
	random := rand.New(rand.NewPCG(1, 2))
	var memory, prompt float64
	for i := range samples {
		rank := identifier.Lesser
		if random.Float64() < s.traffic[identifier.Urgent].fraction {
			rank = identifier.Urgent
		}
		r := s.drawRequest(random, i, rank)
		pieces := math.Ceil(float64(r.prompt+r.output) / float64(pieceTokens))
		step := (baseStepTime + fullBatchStreams*stepTimePerStream).Seconds()
		memory += pieces * float64(r.output) * step / samples
		prompt += float64(r.prompt) / samples
	}
	byMemory := float64(s.decodeEngines) * float64(s.decodePieces) / memory
	byPrefill := float64(s.prefillEngines) * float64(prefillRate) / prompt
	return min(byMemory, byPrefill)
}
