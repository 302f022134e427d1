package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"

	"github.com/foxtailspool/foxtailspool/allocator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// The sizes of the stand-in engines and of the callers' limits.
const (
	enginePieces = 2000
	pieceTokens  = 16
	// bodyLimitKiB is the largest body that the nodes take.
	bodyLimitKiB = 64
)

// The names of the pools; the model's is the same as its pool's.
const (
	modelName = "lector-bitacoras"
	deskName  = "mesa-servicio"
)

var dataCentres = []string{"plovdiv", "stara-zagora", "haskovo"}

// fleet is where everything listens.
type fleet struct {
	platform string
	service  string
	prefills []string
	decodes  []string
	nodes    []*node
}

// node is one node of the fleet.
type node struct {
	name      string
	callers   string
	peers     string
	operators string
	process   *process
}

// newFleet chooses where everything will listen.
func newFleet(ctx context.Context) (fleet, error) {
	const others = 6
	free, err := allocator.New(ctx).NextN(ctx, others+3*nodeCount)
	if err != nil {
		return fleet{}, err
	}
	f := fleet{platform: free[0], service: free[1], prefills: free[2:4], decodes: free[4:6]}
	for i := range nodeCount {
		own := free[others+3*i:]
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("entry-%d", i+1), callers: own[0], peers: own[1], operators: own[2]})
	}
	return f, nil
}

// start starts every process and waits until the nodes answer.
func (d *Demonstrator) start(ctx context.Context) error {
	var err error
	if d.fleet, err = newFleet(ctx); err != nil {
		return err
	}
	if err := d.startSurroundings(); err != nil {
		return err
	}
	for i, n := range d.fleet.nodes {
		path, err := d.write(n.name+".toml", d.fleet.settings(n, dataCentres[i]))
		if err != nil {
			return err
		}
		if n.process, err = d.processes.start(n.name, d.program("foxtailspool"), "serve", path); err != nil {
			return err
		}
	}
	for _, n := range d.fleet.nodes {
		healthy := func(ctx context.Context) bool { return d.answers(ctx, "http://"+n.operators+"/healthz") }
		if err := await(ctx, n.name+" answering", healthy); err != nil {
			return err
		}
	}
	for _, p := range d.processes.started {
		if !p.alive() {
			return fmt.Errorf("%s ended: %w", p.name, p.err)
		}
		d.printf("   process %d  %s\n", p.command.Process.Pid, p.name)
	}
	return nil
}

func (d *Demonstrator) startSurroundings() error {
	type standin struct{ kind, name, address string }
	all := []standin{{"platform", "platform", d.fleet.platform}, {"service", "service-1", d.fleet.service}}
	for i, address := range d.fleet.prefills {
		all = append(all, standin{"engine", fmt.Sprintf("prefill-%d", i+1), address})
	}
	for i, address := range d.fleet.decodes {
		all = append(all, standin{"engine", fmt.Sprintf("decode-%d", i+1), address})
	}
	for _, s := range all {
		arguments := []string{s.kind, "--listen", s.address}
		if s.kind == "engine" {
			arguments = append(arguments, "--name", s.name, "--pieces", fmt.Sprint(enginePieces), "--piece-tokens", fmt.Sprint(pieceTokens))
		}
		if _, err := d.processes.start(s.name, d.program("foxtailspool-standin"), arguments...); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demonstrator) program(name string) string {
	return filepath.Join(d.options.Binaries, name)
}

// answers tells whether a GET is answered with success.
func (d *Demonstrator) answers(ctx context.Context, url string) bool {
	status, _, err := d.get(ctx, url)
	return err == nil && status == http.StatusOK
}

// settings returns the settings file of a node.
func (f fleet) settings(n *node, dataCentre string) string {
	var seeds []string
	for _, other := range f.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	return fmt.Sprintf(`[node]
name = %q
data-centre = %q

[callers]
listen = %q
max-body-size = "%dKiB"

[peers]
listen = %q

[operators]
listen = %q

[platform]
url = "http://%s"

[membership]
seeds = [%s]

[drain]
entry-keep-time = "2s"
`, n.name, dataCentre, n.callers, bodyLimitKiB, n.peers, n.operators, f.platform, strings.Join(seeds, ", "))
}

// routes is the routes table of the demonstration.
func (f fleet) routes() tabulator.Routes {
	second := tabulator.Duration(1e9)
	return tabulator.Routes{Routes: []tabulator.Route{
		{Name: "audit-report", Model: modelName, Account: "audits", Pool: modelName, Rank: identifier.Urgent, FirstToken: 2 * second, BetweenTokens: second / 4, Timeout: 60 * second},
		{Name: "weekly-summary", Model: modelName, Pool: modelName, Rank: identifier.Lesser, FirstToken: 10 * second, BetweenTokens: second, Timeout: 60 * second},
		{Name: "booking", Path: "/bookings", Method: http.MethodPost, Pool: deskName, Rank: identifier.Urgent, Timeout: 10 * second},
		{Name: "history", Path: "/history", Method: http.MethodGet, Pool: deskName, Rank: identifier.Urgent, Repeatable: true, Timeout: 10 * second},
	}}
}

// pools is the pools table of the demonstration.
func (f fleet) pools() tabulator.Pools {
	const kvBytesPerToken, linkRate, prefillRate = 1 << 10, 1 << 30, 20_000
	models := tabulator.Pool{
		Name: modelName, Kind: tabulator.Models,
		PieceTokens: pieceTokens, KVBytesPerToken: kvBytesPerToken, LesserShare: 0.2, QueueLimit: 64, RepeatableOutput: true,
	}
	engine := func(role identifier.Role, i int, address string) tabulator.Member {
		return tabulator.Member{
			Name: identifier.Member(fmt.Sprintf("%s-%d", role, i+1)), Address: identifier.Address(address), Role: role,
			DataCentre: identifier.DataCentre(dataCentres[i]), Pieces: enginePieces,
			PrefillRate: prefillRate, LinkRate: linkRate, ChecksFencing: true,
		}
	}
	for i, address := range f.prefills {
		models.Members = append(models.Members, engine(identifier.Prefill, i, address))
	}
	for i, address := range f.decodes {
		models.Members = append(models.Members, engine(identifier.Decode, i, address))
	}
	return tabulator.Pools{Pools: []tabulator.Pool{models, {
		Name: deskName, Kind: tabulator.Services,
		Members: []tabulator.Member{{Name: "service-1", Address: identifier.Address(f.service), Role: identifier.Service}},
	}}}
}
