package configurator

import (
	"time"
)

// Bounds that several keys share.
const (
	shortest = 10 * time.Millisecond
	longest  = 24 * time.Hour
)

// Keys declares every key of the settings file, bound to s, in the order of the
// settings page.
func Keys(s *Settings) []Key {
	keys := nodeKeys(&s.Node)
	keys = append(keys, listenerKeys("callers", "Callers", required, &s.Callers)...)
	keys = append(keys, listenerKeys("peers", "Other nodes", required, &s.Peers)...)
	keys = append(keys, listenerKeys("operators", "Operators", "127.0.0.1:9090", &s.Operators)...)
	keys = append(keys, platformKeys(&s.Platform)...)
	keys = append(keys, membershipKeys(&s.Membership)...)
	keys = append(keys, clientKeys("peer-calls", "another node", "2s", "5s", &s.PeerCalls)...)
	keys = append(keys, duration("peer-calls.ping-interval", &s.PeerCalls.PingInterval, "5s", shortest, longest,
		"A kept connection to another node that received nothing for so long is pinged; it is closed when the answer takes longer than `dial-timeout`."))
	keys = append(keys, clientKeys("backends", "a backend server", "30s", "10s", &s.Backends)...)
	keys = append(keys, requestKeys(&s.Requests)...)
	keys = append(keys, placementKeys(&s.Placement)...)
	keys = append(keys, ledgerKeys(&s.Ledger)...)
	keys = append(keys, drainKeys(&s.Drain)...)
	return append(keys, telemetryKeys(s)...)
}

func nodeKeys(n *Node) []Key {
	return []Key{
		name("node.name", &n.Name, "The node's name, unique in the fleet."),
		name("node.data-centre", &n.DataCentre, "The data centre that the node stands in."),
	}
}

func listenerKeys(section, who, listen string, l *Listener) []Key {
	at := func(key string) string { return section + "." + key }
	keys := []Key{
		address(at("listen"), &l.Listen, listen, who+" connect here: an IP address and a port."),
		address(at("advertise"), &l.Advertise, "", "The address that others are told; `listen` when empty."),
	}
	keys = append(keys, tlsKeys(section, &l.TLS)...)
	return append(
		keys,
		duration(at("read-header-timeout"), &l.ReadHeaderTimeout, "5s", shortest, longest, "The wait for a request's header."),
		duration(at("read-timeout"), &l.ReadTimeout, "30s", shortest, longest, "The wait for a request's header and body together."),
		duration(at("write-timeout"), &l.WriteTimeout, "10s", shortest, longest, "The wait for one write; a stream may last longer."),
		duration(at("idle-timeout"), &l.IdleTimeout, "2m", shortest, longest, "How long an unused connection is kept."),
		count(at("max-connections"), &l.MaxConnections, "2048", 1<<20, "Open connections at once."),
		count(at("max-streams"), &l.MaxStreams, "250", 1<<16, "Requests at once on one HTTP/2 connection."),
		size(at("max-header-size"), &l.MaxHeaderSize, "16KiB", Kibibyte, Mebibyte, "A request's header."),
		size(at("max-body-size"), &l.MaxBodySize, "4MiB", Kibibyte, Gibibyte, "A request's body."),
	)
}

func tlsKeys(section string, t *TLS) []Key {
	at := func(key string) string { return section + "." + key }
	return []Key{
		file(at("certificate-file"), &t.CertificateFile, "PEM certificate chain; TLS is off without it. Read again when it changes."),
		file(at("key-file"), &t.KeyFile, "PEM key of the certificate. Read again when it changes."),
		file(at("authority-file"), &t.AuthorityFile, "PEM certificates that the other side's must be signed by. Read again when it changes."),
	}
}

func platformKeys(p *Platform) []Key {
	keys := []Key{
		baseURL("platform.url", &p.URL, required, "The base address of the platform's object API."),
	}
	keys = append(keys, tlsKeys("platform", &p.TLS)...)
	return append(
		keys,
		file("platform.token-file", &p.TokenFile, "A file with a bearer token for the platform; read for each call."),
		duration("platform.call-timeout", &p.CallTimeout, "2s", shortest, longest, "One call that is not a watch."),
		duration("platform.watch-silence", &p.WatchSilence, "30s", shortest, longest, "A watch that sends nothing for so long is opened again."),
		count("platform.max-connections", &p.MaxConnections, "8", 1<<10, "Open connections to the platform."),
	)
}

func membershipKeys(m *Membership) []Key {
	return []Key{
		addresses("membership.seeds", &m.Seeds, "Peer addresses of nodes that a starting node asks first."),
		duration("membership.probe-interval", &m.ProbeInterval, "1s", shortest, longest, "The time from one probe to the next."),
		duration("membership.probe-timeout", &m.ProbeTimeout, "400ms", shortest, longest, "The wait for a probe's answer; below probe-interval."),
		duration("membership.suspicion-time", &m.SuspicionTime, "3s", shortest, longest, "How long a silent node is suspected before it counts as dead."),
	}
}

func clientKeys(section, server, header, progress string, c *Client) []Key {
	at := func(key string) string { return section + "." + key }
	return []Key{
		duration(at("dial-timeout"), &c.DialTimeout, "1s", shortest, longest, "The time to open a connection to "+server+"."),
		duration(at("header-timeout"), &c.HeaderTimeout, header, shortest, longest, "The wait for an answer's header."),
		duration(at("progress-timeout"), &c.ProgressTimeout, progress, shortest, longest, "An answer that sends nothing for so long is given up."),
		duration(at("idle-timeout"), &c.IdleTimeout, "90s", shortest, longest, "How long an unused connection is kept."),
		duration(at("call-timeout"), &c.CallTimeout, "2s", shortest, longest, "A short call as a whole, such as a cancel or a load report."),
		count(at("max-connections-per-host"), &c.MaxConnectionsPerHost, "256", 1<<16, "Open connections to one server."),
	}
}

func requestKeys(r *Requests) []Key {
	return []Key{
		count("requests.max-in-flight", &r.MaxInFlight, "1024", 1<<20, "Requests that the node serves at once."),
		optionalCount("requests.max-in-flight-per-account", &r.MaxInFlightPerAccount, 1<<20, "Those of one account, by `X-Account`; callers without one count as one account. At most max-in-flight; a quarter of it when empty."),
		duration("requests.max-timeout", &r.MaxTimeout, "5m", shortest, longest, "The longest time of a request: the timeout of routes that set none, and the bound on those that set a longer one."),
		count("requests.default-output", &r.DefaultOutput, "512", 1<<20, "The output, in tokens, of model requests that set no limit."),
		count("requests.max-attempts", &r.MaxAttempts, "3", 100, "Attempts of one model request."),
		count("requests.max-resumes", &r.MaxResumes, "2", 100, "New connections tried for a stream whose connection broke."),
		duration("requests.linger", &r.Linger, "3s", shortest, longest, "How long a stream whose caller was cut off is kept for the caller to come back."),
		duration("requests.cancel-retry", &r.CancelRetry, "100ms", shortest, longest, "The first pause between two tries to cancel on an engine."),
		duration("requests.cancel-give-up", &r.CancelGiveUp, "30s", shortest, longest, "When an engine that cannot be reached for a cancel is taken for gone."),
		count("requests.retry-rate", &r.RetryRate, "5", 1<<20, "Repeats a second that a pool may be sent whatever its load."),
		count("requests.retry-burst", &r.RetryBurst, "80", 1<<20, "Repeats that can be saved up for a pool."),
		duration("requests.retry-after", &r.RetryAfter, "1s", shortest, longest, "What callers are told to wait where nothing better is known."),
	}
}

func placementKeys(p *Placement) []Key {
	return []Key{
		duration("placement.lease", &p.Lease, "3s", shortest, longest, "How long a grant stands without renewal."),
		duration("placement.grace", &p.Grace, "2s", shortest, longest, "How long a lapsed grant may be taken over before its request is cancelled."),
		duration("placement.load-interval", &p.LoadInterval, "500ms", shortest, longest, "The time between two load reports of an engine."),
		duration("placement.fallback-after", &p.FallbackAfter, "300ms", shortest, longest, "How long a request waits for an owner that cannot be reached before the node places it alone."),
		count("placement.engines-per-shard", &p.EnginesPerShard, "24", 1<<10, "Engines that one owner places for. The same on every node."),
		count("placement.max-backlog", &p.MaxBacklog, "10000", 1<<20, "Releases kept for an owner that cannot be reached."),
	}
}

func ledgerKeys(l *Ledger) []Key {
	return []Key{
		duration("ledger.key-window", &l.KeyWindow, "10m", time.Minute, 30*longest, "How long an Idempotency-Key is remembered; older keys are never run. The same on every node: the first one stores it, and the stored value is used from then on (event 3005)."),
		duration("ledger.clock-skew", &l.ClockSkew, "5s", shortest, longest, "The largest difference between any two clocks of nodes. Stored by the first node, as key-window is."),
		count("ledger.shards", &l.Shards, "16", 1<<10, "Owners that share the ledger. Stored by the first node, as key-window is."),
		duration("ledger.commit-interval", &l.CommitInterval, "150ms", shortest, longest, "The shortest time between two writes of one page."),
		size("ledger.max-kept-answer-size", &l.MaxKeptAnswerSize, "1KiB", Byte, 2*Kibibyte, "The largest answer that is kept inside its page of the ledger; a larger one is kept in an object of its own, with a write more."),
	}
}

func drainKeys(d *Drain) []Key {
	return []Key{
		duration("drain.entry-keep-time", &d.EntryKeepTime, "5s", shortest, longest, "How long callers may keep the answer of /v1/entries; a leaving node takes requests for as long."),
		duration("drain.finish-timeout", &d.FinishTimeout, "10m", shortest, longest, "The wait for open streams after that."),
	}
}

func telemetryKeys(s *Settings) []Key {
	return []Key{
		level("log.level", &s.Log.Level, "info", "The least severe events that are written."),
		baseURL("traces.endpoint", &s.Traces.Endpoint, "", "The base address of an OTLP/HTTP collector; traces are not exported when empty."),
		ratio("traces.sample-ratio", &s.Traces.SampleRatio, "0.01", "The share of requests that are traced, unless the caller decided."),
	}
}
