package cmd

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/localizer"
	"github.com/foxtailspool/foxtailspool/logger"
	"github.com/foxtailspool/foxtailspool/meter"
	"github.com/foxtailspool/foxtailspool/platform"
	"github.com/foxtailspool/foxtailspool/starter"
	"github.com/foxtailspool/foxtailspool/supervisor"
)

// liveness sets TCP keepalives and the limit on unacknowledged data so that a dead
// connection is detected in about three seconds, less than callers wait.
var liveness = connector.Liveness{
	KeepAlive:             net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	UnacknowledgedTimeout: 2 * time.Second,
}

type runCommand struct {
	serveCommand
	level string
	// remotePrice is how long a caller's wait is worth one GB between data centres.
	remotePrice priceFlag
}

func newRunCommand() *cobra.Command {
	c := &runCommand{serveCommand: serveCommand{exit: os.Exit}}
	command := &cobra.Command{
		Use:   "run",
		Short: "Run a node on the users' platform until it is told to stop",
		Long: `Run a node on the users' platform. The environment variable ` + platform.SettingsVariable + `
names the settings file, which the platform writes in its own format. The node
logs numbered events as JSON lines to standard output.

The first SIGTERM or SIGINT drains the node: it leaves the address answer, takes
requests for as long as callers may keep that answer, finishes what is open and
exits with code 0. A SIGINT during the drain ends it at once, with code 7; a repeated
SIGTERM changes nothing. SIGHUP makes the node check its settings file and log the
result; changes take effect at the next start.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return c.run(command) },
	}
	command.Flags().StringVar(&c.level, "log-level", "info", "least severe `level` of the events that are logged")
	command.Flags().Var(&c.remotePrice, "wait-for-remote-gb", "how long a caller's wait is worth one GB between data centres, from 0s (bytes are free) to 24h0m0s; without it fixed preferences decide")
	return command
}

func (c *runCommand) run(command *cobra.Command) error {
	signals := notifySignals()
	path := os.Getenv(platform.SettingsVariable)
	settings, err := readPlatformSettings(path)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(c.level)
	if err != nil {
		return Faulty.Wrap(err, "--log-level")
	}
	lines := logger.NewQueue(command.OutOrStdout())
	log := logger.NewQueuedLogger(lines, level, logger.Fields{"node": settings.Node, "data-centre": settings.DataCentre}, EventLinesDropped)
	log.Log(EventStarting, logger.Fields{"release": release, "settings": path})
	debug.SetMemoryLimit(starter.MemoryLimit(settings))
	c.checkSettings = func() (bool, error) {
		latest, err := readPlatformSettings(path)
		return latest != settings, err
	}
	stopLogWriter := startLogWriter(command.Context(), lines)
	defer stopLogWriter()
	return c.serve(command.Context(), assemblePlatform(settings, c.remotePrice.price, lines, log), signals, log)
}

func readPlatformSettings(path string) (platform.Settings, error) {
	content, err := os.ReadFile(path) //nolint:gosec // The platform names the file.
	if err != nil {
		return platform.Settings{}, Failed.Wrap(err, "settings")
	}
	settings, err := platform.ParseSettings(content)
	if err != nil {
		return platform.Settings{}, Faulty.Wrap(err, "settings")
	}
	return settings, nil
}

// flushTimeout bounds the wait for the last log lines at exit, because nobody may be
// reading the output any more.
const flushTimeout = 200 * time.Millisecond

// startLogWriter starts writing queued log lines to the output. The returned function
// stops it and waits up to flushTimeout for the remaining lines.
func startLogWriter(ctx context.Context, lines *logger.Queue) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- lines.Run(ctx) }()
	return func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(flushTimeout):
		}
	}
}

// assemblePlatform returns a node with its metrics, built from the platform's settings.
func assemblePlatform(settings platform.Settings, remotePrice *localizer.Price, lines *logger.Queue, log *logger.Logger) runner {
	metrics := meter.New(meter.Options{
		Node:       settings.Node,
		DataCentre: settings.DataCentre,
		Interval:   reportInterval,
		Log:        log,
	})
	dropped := metrics.Scope.Gauge("log-lines-dropped")
	node := starter.New(starter.Options{
		UpdateMetrics: func() { dropped.Update(float64(lines.Dropped())) },
		Settings:      settings,
		RemotePrice:   remotePrice,
		Incarnation:   identifier.Incarnation(time.Now().UnixNano()),
		Network:       connector.NewNetworkWithLiveness(liveness),
		Metrics:       metrics.Handler,
		Log:           log,
		Scope:         metrics.Scope,
	})
	process := supervisor.New()
	process.Register("meter", metrics)
	process.Register("node", node)
	return process
}

var _ runner = (*starter.Starter)(nil)
