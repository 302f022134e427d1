package recorder

import "context"

// Run serves the ledger until ctx ends. It then records the pending outcomes for at
// most DrainTimeout. The commit loop stops last, because it writes these outcomes.
func (r *Recorder) Run(ctx context.Context) error {
	loopContext, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	loopEnd := make(chan error, 1)
	go func() { loopEnd <- r.runLoop(loopContext) }()
	workers := []func(context.Context) error{r.outcomes.run, r.runPruner}
	results := make(chan error, len(workers))
	for _, work := range workers {
		go func() { results <- work(ctx) }()
	}
	var failure error
	for range workers {
		if err := <-results; err != nil {
			failure = err
		}
	}
	stopLoop()
	if err := <-loopEnd; err != nil {
		failure = err
	}
	return failure
}
