package prover

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestSlowBusyPrefillEngineIsPassedOver checks that a slow engine that reports load from
// another client gets no prefill while another engine is idle.
func TestSlowBusyPrefillEngineIsPassedOver(t *testing.T) {
	runWithFleet(t, smallShape, func(t *testing.T, f *fleet) {
		// The first request makes a node request load reports from the engines.
		f.sendUntilFirstToken("how dry is case 7?", 1)
		first := f.engines["prefill-1"].Counts().Prefills
		f.engines["prefill-1"].SetPrefillRate(1000)
		ctx, leave := context.WithCancel(context.Background())
		f.onClose(leave)
		go f.prefillElsewhere(ctx, "10.1.1.1:80", strings.Repeat("other reading ", 1700))
		time.Sleep(2 * time.Second)
		f.sendUntilFirstToken("how dry is case 8?", 1)
		busy, idle := f.engines["prefill-1"].Counts().Prefills, f.engines["prefill-2"].Counts().Prefills
		if first != 1 || busy != 2 || idle != 1 {
			t.Errorf("the busy engine ran %d prefills, its own included, the idle one %d", busy, idle)
		}
	})
}

// prefillElsewhere sends a prompt directly to an engine, past all nodes.
func (f *fleet) prefillElsewhere(ctx context.Context, address, prompt string) {
	body := fmt.Sprintf(`{"prompt":%q,"request_id":"elsewhere","kv_transfer_params":{"do_remote_decode":true}}`, prompt)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	response, err := f.caller.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
