// Command foxtailspool-standin emulates one of the systems that foxtailspool
// depends on: the platform, a model engine or a backend service.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

// readHeaderTimeout limits the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	command := &cobra.Command{
		Use:          "foxtailspool-standin",
		Short:        "Emulate the systems that foxtailspool depends on",
		SilenceUsage: true,
	}
	command.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand())
	return command
}

func newPlatformCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform's object API in memory",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, emulator.NewPlatform())
		},
	}
	addListenFlag(command, &listen)
	return command
}

func newEngineCommand() *cobra.Command {
	var listen string
	var options emulator.EngineOptions
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run a prefill or decode engine",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Address = identifier.Address(listen)
			options.Transport = http.DefaultTransport
			options.Crash = func() { os.Exit(1) }
			return serve(command.Context(), listen, emulator.NewEngine(options))
		},
	}
	addListenFlag(command, &listen)
	flags := command.Flags()
	flags.StringVar((*string)(&options.Name), "name", "engine", "the engine's name")
	flags.IntVar(&options.Pieces, "pieces", 2000, "memory in pieces")
	flags.IntVar(&options.PieceTokens, "piece-tokens", 16, "tokens that a piece holds")
	flags.IntVar(&options.PrefillRate, "prefill-rate", 20000, "prompt tokens computed a second")
	flags.DurationVar(&options.TokenTime, "token-time", 20*time.Millisecond, "time between tokens when idle")
	flags.DurationVar(&options.Evict, "evict", 800*time.Millisecond, "how long an unclaimed KV cache is kept")
	flags.DurationVar(&options.Retain, "retain", 10*time.Second, "how long a finished stream can be resumed")
	flags.DurationVar(&options.Lag, "lag", 500*time.Millisecond, "age of the load report")
	flags.DurationVar(&options.TransferTime, "transfer-time", 5*time.Millisecond, "time of a KV transfer")
	flags.BoolVar(&options.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	flags.StringVar(&options.Poison, "poison", "", "prompts that contain this crash the engine")
	return command
}

func newServiceCommand() *cobra.Command {
	var listen string
	var delay time.Duration
	command := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service that counts its executions",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, emulator.NewService(delay))
		},
	}
	addListenFlag(command, &listen)
	command.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "how long an execution takes")
	return command
}

func addListenFlag(command *cobra.Command, listen *string) {
	command.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to listen at")
}

// serve serves requests until ctx ends, then closes all connections at once.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(os.Stdout, "listening at %s\n", listener.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return server.Close()
	}
}
