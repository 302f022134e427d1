// Command foxtailspool-demo runs a demonstration of foxtailspool on loopback. It
// prints "demo: ok" as its last line, or fails with exit code 1.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/foxtailspool/foxtailspool/demonstrator"
)

// demoTimeout limits the whole demonstration.
const demoTimeout = 2 * time.Minute

func main() {
	binaries := flag.String("bin", "bin", "`directory` of foxtailspool and foxtailspool-standin")
	flag.Parse()
	os.Exit(run(*binaries))
}

func run(binaries string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	err := demonstrator.Run(ctx, demonstrator.Options{Binaries: binaries, Output: os.Stdout})
	if err != nil {
		_, _ = fmt.Fprintf(os.Stdout, "\ndemo: failed: %v\n", err)
		return 1
	}
	_, _ = fmt.Fprintln(os.Stdout, "\ndemo: ok")
	return 0
}
