package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/placer"
)

// lengthDistribution is a log-normal distribution of token counts.
type lengthDistribution struct {
	median float64
	sigma  float64
	least  float64
	most   float64
}

func (l lengthDistribution) sample(random *rand.Rand) identifier.Tokens {
	drawn := l.median * math.Exp(l.sigma*random.NormFloat64())
	return identifier.Tokens(min(max(drawn, l.least), l.most))
}

// traffic describes the requests of one rank.
type traffic struct {
	// fraction is this rank's fraction of the arrivals.
	fraction float64
	prompts  lengthDistribution
	outputs  lengthDistribution
	// firstTokenTarget and betweenTokensTarget are the latency targets.
	firstTokenTarget    time.Duration
	betweenTokensTarget time.Duration
}

// Setting describes a site: its engines, nodes and traffic.
type Setting struct {
	// Name is shown in the report.
	Name           string
	nodes          int
	dataCentres    []identifier.DataCentre
	prefillEngines int
	decodeEngines  int
	// decodePieces is the memory of one decode engine.
	decodePieces identifier.Pieces
	traffic      [len(identifier.Ranks)]traffic
	// lesserShare is the configured minimum share of lesser work.
	lesserShare float64
}

// Engine speeds, sizes and delays, the same in all settings.
const (
	pieceTokens     identifier.Tokens         = 2000
	kvBytesPerToken int64                     = 131_072
	prefillRate     identifier.Tokens         = 24_000
	linkRate        identifier.BytesPerSecond = 5_000_000_000
	// A step, which generates a token, takes baseStepTime plus stepTimePerStream per stream.
	baseStepTime      = 25 * time.Millisecond
	stepTimePerStream = time.Millisecond
	// fullBatchStreams is the number of streams of a full decode engine.
	fullBatchStreams = 20
	// evictAfter is how long a prefill engine keeps an unclaimed KV cache.
	evictAfter = 800 * time.Millisecond
	// messageDelay is the time of one message between nodes or to an engine.
	messageDelay = time.Millisecond
)

// Settings are the two measured sites.
var Settings = []Setting{
	{
		Name: "abazhur", nodes: 8, prefillEngines: 3, decodeEngines: 6, decodePieces: 60, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"plovdiv", "stara-zagora", "haskovo"},
		traffic: [len(identifier.Ranks)]traffic{
			identifier.Urgent: {
				fraction:         0.3,
				prompts:          lengthDistribution{median: 1800, sigma: 0.9, least: 30, most: 9000},
				outputs:          lengthDistribution{median: 180, sigma: 0.7, least: 10, most: 1500},
				firstTokenTarget: time.Second, betweenTokensTarget: 76 * time.Millisecond,
			},
			identifier.Lesser: {
				fraction:         0.7,
				prompts:          lengthDistribution{median: 3500, sigma: 1.1, least: 30, most: 40_000},
				outputs:          lengthDistribution{median: 180, sigma: 0.7, least: 10, most: 1500},
				firstTokenTarget: 6 * time.Second, betweenTokensTarget: 150 * time.Millisecond,
			},
		},
	},
	{
		Name: "hidalgo", nodes: 6, prefillEngines: 4, decodeEngines: 8, decodePieces: 85, lesserShare: 0.15,
		dataCentres: []identifier.DataCentre{"heredia", "cartago", "alajuela"},
		traffic: [len(identifier.Ranks)]traffic{
			identifier.Urgent: {
				fraction:         0.4,
				prompts:          lengthDistribution{median: 4000, sigma: 0.9, least: 50, most: 25_000},
				outputs:          lengthDistribution{median: 250, sigma: 0.6, least: 20, most: 2000},
				firstTokenTarget: 2500 * time.Millisecond, betweenTokensTarget: 100 * time.Millisecond,
			},
			identifier.Lesser: {
				fraction:         0.6,
				prompts:          lengthDistribution{median: 5000, sigma: 1, least: 50, most: 40_000},
				outputs:          lengthDistribution{median: 250, sigma: 0.6, least: 20, most: 2000},
				firstTokenTarget: 12 * time.Second, betweenTokensTarget: 200 * time.Millisecond,
			},
		},
	},
}

// Shared prompt prefixes, accounts and bursts.
const (
	templates              = 50
	templatedFraction      = 0.3
	templatePromptFraction = 0.4
	prefixBlock            = int(placer.PrefixBlock)
	accounts               = 40
	// addressLifetime is how long an account's callers keep using one node's address.
	addressLifetime = 30 * time.Second
	burstFactor     = 1.8
	calmFactor      = 0.8
	burstDuration   = 2 * time.Second
	calmDuration    = 8 * time.Second
)

// request is a simulated request and its progress.
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
	// attempt counts the placements; generated is the output of earlier ones, in tokens.
	attempt   uint64
	generated identifier.Tokens
	// firstTokenAt and endedAt are when the first and the last token came.
	firstTokenAt time.Duration
	endedAt      time.Duration
	state        state
	// shard is the shard asked; triedElsewhere is set once another has refused.
	shard          int
	triedElsewhere bool
	// cause is why the request was refused, if state is notRun.
	cause cause
	// waiting is set while the request awaits placement, since waitingSince;
	// countedWaiting is set once it has waited for minCountedWait.
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

// deadline returns when the first token is due.
func (r *request) deadline() time.Duration {
	return r.arrivedAt + r.traffic.firstTokenTarget
}

// metTargets reports whether a request was answered within both targets.
func (r *request) metTargets() bool {
	if r.state != answered || r.firstTokenAt > r.deadline() {
		return false
	}
	return float64(r.endedAt-r.firstTokenAt) <= float64(r.traffic.betweenTokensTarget)*float64(max(1, r.output-1))
}

// drawAccount returns a random account; the k-th largest has 1/k of the largest's requests.
func drawAccount(random *rand.Rand) int {
	return int(math.Pow(accounts+1, random.Float64())) - 1
}

// drawRequest returns a random request of a rank.
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

// nodeFor returns the node that an account's callers use at a time. Callers keep
// an address for addressLifetime, and accounts change theirs at different times.
func (s *Setting) nodeFor(account int, now time.Duration) int {
	period := (now + time.Duration(account)*addressLifetime/accounts) / addressLifetime
	random := rand.New(rand.NewPCG(uint64(account), uint64(period)))
	return random.IntN(s.nodes)
}

// capacity estimates the highest arrival rate that the engines sustain, in requests a second.
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
