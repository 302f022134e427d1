// Command foxtailspool-gauge measures the resources that a node spends on membership.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/foxtailspool/foxtailspool/gauger"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := gauger.NewCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
