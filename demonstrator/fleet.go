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

const (
	enginePieces = 2000
	pieceTokens  = 16
	// bodyLimitKiB is the largest request body that the nodes accept.
	bodyLimitKiB = 64
)

// The names of the pools. modelName is also the name of the model.
const (
	modelName       = "lector-bitacoras"
	servicePoolName = "mesa-servicio"
)

var dataCentres = []string{"plovdiv", "stara-zagora", "haskovo"}

// fleet contains the nodes and the listen addresses of the stand-ins.
type fleet struct {
	platformAddress  string
	serviceAddress   string
	prefillAddresses []string
	decodeAddresses  []string
	nodes            []*node
}

// node is a foxtailspool process with the addresses of its three listeners.
type node struct {
	name             string
	callersAddress   string
	peersAddress     string
	operatorsAddress string
	process          *process
}

// newFleet allocates a free loopback address for each listener; it starts nothing.
func newFleet(ctx context.Context) (fleet, error) {
	const standinCount = 6
	freeAddresses, err := allocator.New(ctx).NextN(ctx, standinCount+3*nodeCount)
	if err != nil {
		return fleet{}, err
	}
	f := fleet{platformAddress: freeAddresses[0], serviceAddress: freeAddresses[1], prefillAddresses: freeAddresses[2:4], decodeAddresses: freeAddresses[4:6]}
	for i := range nodeCount {
		addresses := freeAddresses[standinCount+3*i:]
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("entry-%d", i+1), callersAddress: addresses[0], peersAddress: addresses[1], operatorsAddress: addresses[2]})
	}
	return f, nil
}

// start starts every process and waits until the health check of each node succeeds.
func (d *Demonstrator) start(ctx context.Context) error {
	var err error
	if d.fleet, err = newFleet(ctx); err != nil {
		return err
	}
	if err := d.startStandins(); err != nil {
		return err
	}
	for i, n := range d.fleet.nodes {
		path, err := d.writeFile(n.name+".toml", d.fleet.settings(n, dataCentres[i]))
		if err != nil {
			return err
		}
		if n.process, err = d.processes.start(n.name, d.programPath("foxtailspool"), "serve", path); err != nil {
			return err
		}
	}
	for _, n := range d.fleet.nodes {
		healthy := func(ctx context.Context) bool { return d.respondsOK(ctx, "http://"+n.operatorsAddress+"/healthz") }
		if err := await(ctx, n.name+" answering", healthy); err != nil {
			return err
		}
	}
	for _, p := range d.processes.started {
		if !p.isRunning() {
			return fmt.Errorf("%s ended: %w", p.name, p.err)
		}
		d.printf("   process %d  %s\n", p.command.Process.Pid, p.name)
	}
	return nil
}

func (d *Demonstrator) startStandins() error {
	type standin struct{ kind, name, address string }
	standins := []standin{{"platform", "platform", d.fleet.platformAddress}, {"service", "service-1", d.fleet.serviceAddress}}
	for i, address := range d.fleet.prefillAddresses {
		standins = append(standins, standin{"engine", fmt.Sprintf("prefill-%d", i+1), address})
	}
	for i, address := range d.fleet.decodeAddresses {
		standins = append(standins, standin{"engine", fmt.Sprintf("decode-%d", i+1), address})
	}
	for _, s := range standins {
		arguments := []string{s.kind, "--listen", s.address}
		if s.kind == "engine" {
			arguments = append(arguments, "--name", s.name, "--pieces", fmt.Sprint(enginePieces), "--piece-tokens", fmt.Sprint(pieceTokens))
		}
		if _, err := d.processes.start(s.name, d.programPath("foxtailspool-standin"), arguments...); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demonstrator) programPath(name string) string {
	return filepath.Join(d.options.Binaries, name)
}

// respondsOK reports whether a GET request returns status 200.
func (d *Demonstrator) respondsOK(ctx context.Context, url string) bool {
	status, _, err := d.get(ctx, url)
	return err == nil && status == http.StatusOK
}

// settings returns the settings file of a node in TOML.
func (f fleet) settings(n *node, dataCentre string) string {
	var seeds []string
	for _, other := range f.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.peersAddress))
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
`, n.name, dataCentre, n.callersAddress, bodyLimitKiB, n.peersAddress, n.operatorsAddress, f.platformAddress, strings.Join(seeds, ", "))
}

func (f fleet) routes() tabulator.Routes {
	second := tabulator.Duration(1e9)
	return tabulator.Routes{Routes: []tabulator.Route{
		{Name: "audit-report", Model: modelName, Account: "audits", Pool: modelName, Rank: identifier.Urgent, FirstToken: 2 * second, BetweenTokens: second / 4, Timeout: 60 * second},
		{Name: "weekly-summary", Model: modelName, Pool: modelName, Rank: identifier.Lesser, FirstToken: 10 * second, BetweenTokens: second, Timeout: 60 * second},
		{Name: "booking", Path: "/bookings", Method: http.MethodPost, Pool: servicePoolName, Rank: identifier.Urgent, Timeout: 10 * second},
		{Name: "history", Path: "/history", Method: http.MethodGet, Pool: servicePoolName, Rank: identifier.Urgent, Repeatable: true, Timeout: 10 * second},
	}}
}

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
	for i, address := range f.prefillAddresses {
		models.Members = append(models.Members, engine(identifier.Prefill, i, address))
	}
	for i, address := range f.decodeAddresses {
		models.Members = append(models.Members, engine(identifier.Decode, i, address))
	}
	return tabulator.Pools{Pools: []tabulator.Pool{models, {
		Name: servicePoolName, Kind: tabulator.Services,
		Members: []tabulator.Member{{Name: "service-1", Address: identifier.Address(f.serviceAddress), Role: identifier.Service}},
	}}}
}
