package configurator

import (
	"time"
)

// The allowed range of most durations.
const (
	minDuration = 10 * time.Millisecond
	maxDuration = 24 * time.Hour
)

// Keys returns every key of the settings file, in the order of docs/SETTINGS.md.
// Each key's set function stores into s.
func Keys(s *Settings) []Key {
	keys := nodeKeys(&s.Node)
	keys = append(keys, listenerKeys("callers", "Callers", required, &s.Callers)...)
	keys = append(keys, listenerKeys("peers", "Other nodes", required, &s.Peers)...)
	keys = append(keys, listenerKeys("operators", "Operators", "127.0.0.1:9090", &s.Operators)...)
	keys = append(keys, platformKeys(&s.Platform)...)
	keys = append(keys, membershipKeys(&s.Membership)...)
	keys = append(keys, clientKeys("peer-calls", "another node", "2s", "5s", &s.PeerCalls)...)
	keys = append(keys, durationKey("peer-calls.ping-interval", &s.PeerCalls.PingInterval, "5s", minDuration, maxDuration,
		"An open connection to another node that receives nothing for this long is pinged; it is closed when the reply takes longer than `dial-timeout`."))
	keys = append(keys, clientKeys("backends", "a backend server", "30s", "10s", &s.Backends)...)
	keys = append(keys, requestKeys(&s.Requests)...)
	keys = append(keys, placementKeys(&s.Placement)...)
	keys = append(keys, ledgerKeys(&s.Ledger)...)
	keys = append(keys, drainKeys(&s.Drain)...)
	return append(keys, telemetryKeys(s)...)
}

func nodeKeys(n *Node) []Key {
	return []Key{
		nameKey("node.name", &n.Name, "The node's name, unique in the fleet."),
		nameKey("node.data-centre", &n.DataCentre, "The data centre of the node."),
	}
}

func listenerKeys(section, clients, defaultListen string, l *Listener) []Key {
	fullName := func(key string) string { return section + "." + key }
	keys := []Key{
		addressKey(fullName("listen"), &l.Listen, defaultListen, clients+" connect here: an IP address and a port."),
		addressKey(fullName("advertise"), &l.Advertise, "", "The address published to clients and peers; `listen` when empty."),
	}
	keys = append(keys, tlsKeys(section, &l.TLS)...)
	return append(
		keys,
		durationKey(fullName("read-header-timeout"), &l.ReadHeaderTimeout, "5s", minDuration, maxDuration, "The wait for a request's header."),
		durationKey(fullName("read-timeout"), &l.ReadTimeout, "30s", minDuration, maxDuration, "The wait for a request's header and body together."),
		durationKey(fullName("write-timeout"), &l.WriteTimeout, "10s", minDuration, maxDuration, "The wait for one write; a stream may last longer."),
		durationKey(fullName("idle-timeout"), &l.IdleTimeout, "2m", minDuration, maxDuration, "How long an unused connection is kept."),
		countKey(fullName("max-connections"), &l.MaxConnections, "2048", 1<<20, "Open connections at once. At the limit, the one that has waited longest for a request is closed for a new one."),
		countKey(fullName("max-streams"), &l.MaxStreams, "250", 1<<16, "Requests at once on one HTTP/2 connection."),
		sizeKey(fullName("max-header-size"), &l.MaxHeaderSize, "16KiB", Kibibyte, Mebibyte, "A request's header."),
		sizeKey(fullName("max-body-size"), &l.MaxBodySize, "4MiB", Kibibyte, Gibibyte, "A request's body."),
	)
}

func tlsKeys(section string, t *TLS) []Key {
	fullName := func(key string) string { return section + "." + key }
	return []Key{
		filePathKey(fullName("certificate-file"), &t.CertificateFile, "PEM certificate chain; TLS is off without it. Read again when it changes."),
		filePathKey(fullName("key-file"), &t.KeyFile, "PEM key of the certificate. Read again when it changes."),
		filePathKey(fullName("authority-file"), &t.AuthorityFile, "PEM certificates of the authorities that must sign the certificate of the other side. Read again when it changes."),
	}
}

func platformKeys(p *Platform) []Key {
	keys := []Key{
		baseURLKey("platform.url", &p.URL, required, "The base address of the platform's object API."),
	}
	keys = append(keys, tlsKeys("platform", &p.TLS)...)
	return append(
		keys,
		filePathKey("platform.token-file", &p.TokenFile, "A file with a bearer token for the platform; read for each call."),
		durationKey("platform.call-timeout", &p.CallTimeout, "2s", minDuration, maxDuration, "The time limit of a call that is not a watch."),
		durationKey("platform.watch-silence", &p.WatchSilence, "30s", minDuration, maxDuration, "A watch that receives nothing for this long is closed and opened again."),
		countKey("platform.max-connections", &p.MaxConnections, "8", 1<<10, "Open connections to the platform."),
	)
}

func membershipKeys(m *Membership) []Key {
	return []Key{
		addressListKey("membership.seeds", &m.Seeds, "Peer addresses of nodes that a starting node asks first."),
		durationKey("membership.probe-interval", &m.ProbeInterval, "1s", minDuration, maxDuration, "The time from one probe to the next."),
		durationKey("membership.probe-timeout", &m.ProbeTimeout, "400ms", minDuration, maxDuration, "The wait for a probe's answer; below probe-interval."),
		durationKey("membership.suspicion-time", &m.SuspicionTime, "3s", minDuration, maxDuration, "How long an unresponsive node is suspect before it is declared dead."),
	}
}

func clientKeys(section, server, headerTimeout, progressTimeout string, c *Client) []Key {
	fullName := func(key string) string { return section + "." + key }
	return []Key{
		durationKey(fullName("dial-timeout"), &c.DialTimeout, "1s", minDuration, maxDuration, "The time to open a connection to "+server+"."),
		durationKey(fullName("header-timeout"), &c.HeaderTimeout, headerTimeout, minDuration, maxDuration, "The wait for an answer's header."),
		durationKey(fullName("progress-timeout"), &c.ProgressTimeout, progressTimeout, minDuration, maxDuration, "A response that sends nothing for this long is aborted."),
		durationKey(fullName("idle-timeout"), &c.IdleTimeout, "90s", minDuration, maxDuration, "How long an unused connection is kept."),
		durationKey(fullName("call-timeout"), &c.CallTimeout, "2s", minDuration, maxDuration, "The time limit of a whole short call, such as a cancel or a load report."),
		countKey(fullName("max-connections-per-host"), &c.MaxConnectionsPerHost, "256", 1<<16, "Open connections to one server."),
	}
}

func requestKeys(r *Requests) []Key {
	return []Key{
		sizeKey("requests.max-held-bodies", &r.MaxHeldBodies, "256MiB", Mebibyte, 64*Gibibyte, "The bodies of all requests that the node holds at once. A request whose body has no room is refused."),
		sizeKey("requests.max-held-answers", &r.MaxHeldAnswers, "256MiB", Mebibyte, 64*Gibibyte, "The answers of services that the node holds at once. An answer that has no room is lost."),
		countKey("requests.max-in-flight", &r.MaxInFlight, "1024", 1<<20, "Requests that the node serves at once."),
		optionalCountKey("requests.max-in-flight-per-account", &r.MaxInFlightPerAccount, 1<<20, "Requests of one account that the node serves at once, by `X-Account`; callers without one count as one account. At most max-in-flight; a quarter of it when empty."),
		durationKey("requests.max-timeout", &r.MaxTimeout, "5m", minDuration, maxDuration, "The longest time of a request: the timeout of routes that set none, and the bound on those that set a longer one."),
		countKey("requests.default-output", &r.DefaultOutput, "512", 1<<20, "The output, in tokens, of model requests that set no limit."),
		countKey("requests.max-attempts", &r.MaxAttempts, "3", 100, "Attempts of one model request."),
		countKey("requests.max-resumes", &r.MaxResumes, "2", 100, "New connections tried for a stream whose connection broke."),
		durationKey("requests.linger", &r.Linger, "3s", minDuration, maxDuration, "How long a stream is kept after its caller disconnects, so that the caller can reconnect."),
		durationKey("requests.cancel-retry", &r.CancelRetry, "100ms", minDuration, maxDuration, "The initial backoff between calls to cancel an attempt on an engine."),
		durationKey("requests.cancel-give-up", &r.CancelGiveUp, "30s", minDuration, maxDuration, "How long cancelling is retried before an unreachable engine is considered gone."),
		countKey("requests.retry-rate", &r.RetryRate, "5", 1<<20, "Retries per second that a pool admits at any load."),
		countKey("requests.retry-burst", &r.RetryBurst, "80", 1<<20, "The most unused retries that a pool can accumulate."),
		durationKey("requests.retry-after", &r.RetryAfter, "1s", minDuration, maxDuration, "The retry delay sent to callers when no estimate is available."),
	}
}

func placementKeys(p *Placement) []Key {
	return []Key{
		durationKey("placement.lease", &p.Lease, "3s", minDuration, maxDuration, "How long a grant is valid without renewal."),
		durationKey("placement.grace", &p.Grace, "2s", minDuration, maxDuration, "How long an expired grant can be taken over before its request is cancelled."),
		durationKey("placement.load-interval", &p.LoadInterval, "500ms", minDuration, maxDuration, "The time between two load reports of an engine."),
		durationKey("placement.fallback-after", &p.FallbackAfter, "300ms", minDuration, maxDuration, "How long a request waits for an unreachable shard owner before the node places the request itself."),
		countKey("placement.engines-per-shard", &p.EnginesPerShard, "24", 1<<10, "Engines in one shard. The same on every node."),
		countKey("placement.max-backlog", &p.MaxBacklog, "10000", 1<<20, "Grant releases queued for an unreachable shard owner."),
	}
}

func ledgerKeys(l *Ledger) []Key {
	return []Key{
		durationKey("ledger.key-window", &l.KeyWindow, "10m", time.Minute, 30*maxDuration, "How long an Idempotency-Key is remembered; older keys are never run. The same on every node: the first one stores it, and the stored value is used from then on (event 3005)."),
		durationKey("ledger.clock-skew", &l.ClockSkew, "5s", minDuration, maxDuration, "The largest difference between the clocks of any two nodes. Stored by the first node, as key-window is."),
		countKey("ledger.shards", &l.Shards, "16", 1<<10, "Shards of the ledger, each with its own owner. Stored by the first node, as key-window is."),
		durationKey("ledger.commit-interval", &l.CommitInterval, "150ms", minDuration, maxDuration, "The minimum time between writes of one ledger page."),
		sizeKey("ledger.max-kept-answer-size", &l.MaxKeptAnswerSize, "1KiB", Byte, 2*Kibibyte, "The largest answer that is kept inside its page of the ledger; a larger one is stored as a separate object, which costs one more write."),
	}
}

func drainKeys(d *Drain) []Key {
	return []Key{
		durationKey("drain.entry-keep-time", &d.EntryKeepTime, "5s", minDuration, maxDuration, "How long callers may cache the answer of /v1/entries; a leaving node accepts requests for this long."),
		durationKey("drain.finish-timeout", &d.FinishTimeout, "10m", minDuration, maxDuration, "The wait for open streams after entry-keep-time."),
	}
}

func telemetryKeys(s *Settings) []Key {
	return []Key{
		levelKey("log.level", &s.Log.Level, "info", "The least severe events that are written."),
		baseURLKey("traces.endpoint", &s.Traces.Endpoint, "", "The base address of an OTLP/HTTP collector; traces are not exported when empty."),
		ratioKey("traces.sample-ratio", &s.Traces.SampleRatio, "0.01", "The fraction of requests that are traced; a sampling decision of the caller takes precedence."),
	}
}
