package cmd

import (
	"context"
	"os"
	"reflect"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/configurator"
	"github.com/foxtailspool/foxtailspool/logger"
)

// runner is an assembled node. Run returns after ctx ends and the node has drained.
type runner interface {
	Run(ctx context.Context) error
}

type serveCommand struct {
	// checkSettings reads the settings file again. It reports whether any setting differs
	// from those that the node runs with.
	checkSettings func() (changed bool, err error)
	// assemble returns the node that the settings describe.
	assemble func(ctx context.Context, settings configurator.Settings, log *logger.Logger) (runner, error)
	// exit ends the process immediately, without draining.
	exit func(code int)
}

func newServeCommand() *cobra.Command {
	s := &serveCommand{assemble: assemble, exit: os.Exit}
	return &cobra.Command{
		Use:   "serve SETTINGS",
		Short: "Run a node until it is told to stop",
		Long: `Run a node. It logs numbered events as JSON lines to standard error.

The first SIGTERM or SIGINT drains the node: it leaves the answer of /v1/entries,
takes requests for as long as callers may keep that answer (drain.entry-keep-time),
finishes open streams (drain.finish-timeout) and exits with code 0. A SIGINT during
the drain ends it at once, with code 7; a repeated SIGTERM changes nothing. SIGHUP
makes the node check its settings file and log the result; changes take effect at
the next start.`,
		Example: "  foxtailspool serve entry-1.toml",
		Args:    cobra.ExactArgs(1),
		RunE:    func(command *cobra.Command, args []string) error { return s.run(command, args[0]) },
	}
}

func (s *serveCommand) run(command *cobra.Command, path string) error {
	signals := notifySignals()
	settings, faults, err := readSettings(path)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return Faulty.New("%s is refused:\n%s", path, faults.Error())
	}
	log := logger.New(command.ErrOrStderr(), settings.Log.Level, logger.Fields{
		"node":        settings.Node.Name,
		"data-centre": settings.Node.DataCentre,
	})
	log.Log(EventStarting, logger.Fields{"release": release, "settings": path})
	node, err := s.assemble(command.Context(), settings, log)
	if err != nil {
		log.Log(EventFailed, logger.Fields{"error": err.Error()})
		return Failed.Wrap(err, "start")
	}
	s.checkSettings = func() (bool, error) { return settingsChanged(path, settings) }
	return s.serve(command.Context(), node, signals, log)
}

// settingsChanged reports whether the settings file at path differs from settings. It
// returns Faulty if the file is refused.
func settingsChanged(path string, settings configurator.Settings) (bool, error) {
	latest, faults, err := readSettings(path)
	if err != nil {
		return false, err
	}
	if len(faults) > 0 {
		return false, Faulty.New("%s is refused:\n%s", path, faults.Error())
	}
	return !reflect.DeepEqual(latest, settings), nil
}

// serve runs the node until it ends. A stop signal drains it. An interrupt during the drain
// calls s.exit; a repeated SIGTERM does not, because a process manager may repeat it while
// callers' requests are still open.
func (s *serveCommand) serve(ctx context.Context, node runner, signals processSignals, log *logger.Logger) error {
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	draining := false
	for {
		select {
		case err := <-ended:
			return s.logExit(err, log)
		case <-signals.reloads:
			s.logSettings(log)
		case received := <-signals.stops:
			if draining && received == os.Interrupt {
				log.Log(EventSecondSignal, logger.Fields{"signal": received.String()})
				s.exit(exitFailed)
				return Failed.New("interrupted during the drain")
			}
			log.Log(EventDraining, logger.Fields{"signal": received.String()})
			draining = true
			drain()
		}
	}
}

// logSettings checks the settings file and logs the result.
func (s *serveCommand) logSettings(log *logger.Logger) {
	changed, err := s.checkSettings()
	if err != nil {
		log.Log(EventSettingsRefused, logger.Fields{"error": err.Error()})
		return
	}
	log.Log(EventSettingsChecked, logger.Fields{"changed": changed})
}

func (s *serveCommand) logExit(err error, log *logger.Logger) error {
	if err != nil {
		log.Log(EventFailed, logger.Fields{"error": err.Error()})
		return Failed.Wrap(err, "node")
	}
	log.Log(EventStopped, nil)
	return nil
}
