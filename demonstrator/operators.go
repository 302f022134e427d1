package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"

	"github.com/foxtailspool/foxtailspool/tabulator"
)

// The exit codes of foxtailspool that the steps expect.
const (
	exitSuccess = 0
	exitRefused = 3
)

// runCommand runs the foxtailspool command line, prints its output and returns it.
// It fails if the exit code is not the expected one.
func (d *Demonstrator) runCommand(ctx context.Context, wantExitCode int, arguments ...string) (string, error) {
	commandLine := strings.ReplaceAll(strings.Join(arguments, " "), d.directory+"/", "")
	d.printf("   $ foxtailspool %s\n", commandLine)
	command := exec.CommandContext(ctx, d.programPath("foxtailspool"), arguments...) //nolint:gosec // The project's own program.
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", err
	}
	text := strings.ReplaceAll(string(output), d.directory+"/", "")
	for line := range strings.Lines(text) {
		d.printf("     %s", line)
	}
	if code := command.ProcessState.ExitCode(); code != wantExitCode {
		return text, fmt.Errorf("%s: exit code %d, want %d", arguments[0], code, wantExitCode)
	}
	return text, nil
}

// expectRefusal fails unless the command exits with exitRefused and prints text.
func (d *Demonstrator) expectRefusal(ctx context.Context, text string, arguments ...string) error {
	output, err := d.runCommand(ctx, exitRefused, arguments...)
	if err != nil {
		return err
	}
	if !strings.Contains(output, text) {
		return fmt.Errorf("the refusal does not contain %q", text)
	}
	return nil
}

func (d *Demonstrator) showBadSettings(ctx context.Context) error {
	path, err := d.writeFile("bad.toml", `[node]
name = "entry-1"
data-centre = "plovdiv"

[callers]
listen = "127.0.0.1:8080"
read-timeout = 30

[peers]
listen = "127.0.0.1:8081"
certificate = "node.pem"

[platform]
url = "http://127.0.0.1:6443"
`)
	if err != nil {
		return err
	}
	if err := d.expectRefusal(ctx, "line 7: callers.read-timeout", "check", path); err != nil {
		return err
	}
	return d.expectRefusal(ctx, "line 11: peers.certificate: unknown key", "serve", path)
}

func (d *Demonstrator) applyTables(ctx context.Context) error {
	routes, err := d.writeFile("routes.toml", string(tabulator.FormatTOML(d.fleet.routes())))
	if err != nil {
		return err
	}
	pools, err := d.writeFile("pools.toml", string(tabulator.FormatTOML(d.fleet.pools())))
	if err != nil {
		return err
	}
	if _, err := d.runCommand(ctx, exitSuccess, "tables", "apply", "--operators", d.operatorsURL(0), "--routes", routes, "--pools", pools); err != nil {
		return err
	}
	for _, n := range d.fleet.nodes {
		ready := func(ctx context.Context) bool { return d.respondsOK(ctx, "http://"+n.operatorsAddress+"/readyz") }
		if err := await(ctx, n.name+" having the tables", ready); err != nil {
			return err
		}
	}
	inForceEverywhere := func(ctx context.Context) bool {
		_, body, err := d.get(ctx, d.operatorsURL(1)+"/v1/tables/status")
		return err == nil && strings.Count(body, `"configuration": 1`) == nodeCount+1
	}
	if err := await(ctx, "the tables in force everywhere", inForceEverywhere); err != nil {
		return err
	}
	_, err = d.runCommand(ctx, exitSuccess, "tables", "status", "--operators", d.operatorsURL(1))
	return err
}

// operatorsURL returns the base URL of a node's listener for operators.
func (d *Demonstrator) operatorsURL(index int) string {
	return "http://" + d.fleet.nodes[index].operatorsAddress
}

func (d *Demonstrator) showBadTables(ctx context.Context) error {
	misspeltPath, err := d.writeFile("misspelt.toml", "[[routes]]\nname = \"audit\"\npol = \"lector-bitacoras\"\n")
	if err != nil {
		return err
	}
	unknownPool := d.fleet.routes()
	unknownPool.Routes[0].Pool = "lector-de-bitacoras"
	unknownPoolPath, err := d.writeFile("lost.toml", string(tabulator.FormatTOML(unknownPool)))
	if err != nil {
		return err
	}
	if err := d.expectRefusal(ctx, "line 3: unknown key", "tables", "apply", "--operators", d.operatorsURL(0), "--routes", misspeltPath); err != nil {
		return err
	}
	if err := d.expectRefusal(ctx, "not in the pools table", "tables", "apply", "--operators", d.operatorsURL(0), "--routes", unknownPoolPath); err != nil {
		return err
	}
	for i := range d.fleet.nodes {
		if err := d.checkRoutesUnchanged(ctx, i); err != nil {
			return err
		}
	}
	d.printf("   the tables of every node are unchanged\n")
	return nil
}

// checkRoutesUnchanged fails unless the node still has the routes of applyTables in force.
func (d *Demonstrator) checkRoutesUnchanged(ctx context.Context, index int) error {
	command := exec.CommandContext(ctx, d.programPath("foxtailspool"), "tables", "get", "routes", "--operators", d.operatorsURL(index)) //nolint:gosec // The project's own program.
	output, err := command.Output()
	if err != nil {
		return err
	}
	currentRoutes, err := tabulator.ParseTOML[tabulator.Routes](output)
	if err != nil {
		return err
	}
	if string(tabulator.FormatTOML(currentRoutes)) != string(tabulator.FormatTOML(d.fleet.routes())) {
		return fmt.Errorf("node %d has other routes in force", index+1)
	}
	return nil
}

func (d *Demonstrator) showStatus(ctx context.Context) error {
	_, err := d.runCommand(ctx, exitSuccess, "status", "--operators", d.operatorsURL(0))
	return err
}

// checkMemory waits until every engine reports all its memory as free.
func (d *Demonstrator) checkMemory(ctx context.Context) error {
	free := fmt.Sprintf(`"pieces_free":%d`, enginePieces)
	for _, address := range append(d.fleet.prefillAddresses, d.fleet.decodeAddresses...) {
		allFree := func(ctx context.Context) bool {
			status, body, err := d.get(ctx, "http://"+address+"/v1/load")
			return err == nil && status == http.StatusOK && strings.Contains(body, free)
		}
		if err := await(ctx, "an engine with all memory free", allFree); err != nil {
			return err
		}
	}
	d.printf("   all four engines report %d of %d pieces free\n", enginePieces, enginePieces)
	return nil
}
