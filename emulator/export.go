package emulator

import (
	"context"
	"net/http"
	"time"
)

// export is a KV cache that is kept for import by a decode engine.
type export struct {
	pieces int
	evict  *time.Timer
}

// keepExport keeps a computed KV cache until it is imported or evicted. The
// caller must have reserved its pieces and must hold the mutex.
func (e *Engine) keepExport(attempt string, pieces int) {
	e.dropExport(attempt)
	kept := &export{pieces: pieces}
	kept.evict = time.AfterFunc(e.options.Evict, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.exports[attempt] == kept {
			e.counts.Evicted++
			e.dropExport(attempt)
		}
	})
	e.exports[attempt] = kept
}

// dropExport frees a KV cache and reports whether it existed. The caller holds the mutex.
func (e *Engine) dropExport(attempt string) bool {
	kept, ok := e.exports[attempt]
	if !ok {
		return false
	}
	kept.evict.Stop()
	delete(e.exports, attempt)
	e.used -= kept.pieces
	return true
}

// serveExport hands a KV cache to a decode engine and frees it.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	found := e.dropExport(r.PathValue("attempt"))
	e.mutex.Unlock()
	if !found {
		http.Error(w, "kv cache evicted", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// importKV fetches a KV cache from the prefill engine and reports whether it succeeded.
func (e *Engine) importKV(r *http.Request, kv *kvParameters) bool {
	if e.takeStall() {
		<-r.Context().Done()
		return false
	}
	url := "http://" + kv.RemoteHost + ":" + kv.RemotePort + "/v1/kv/" + kv.RemoteRequestID + "/import"
	request, err := http.NewRequestWithContext(r.Context(), http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	pause(r.Context(), e.options.TransferTime)
	return response.StatusCode == http.StatusNoContent
}

// transfer is a KV cache import under way, before the attempt's stream starts.
type transfer struct {
	ctx  context.Context
	stop context.CancelFunc
}

// beginTransfer registers an import so that a cancel can end it. The request's
// context is not enough: it never ends if the connection silently stops delivering.
func (e *Engine) beginTransfer(r *http.Request, attempt string) *transfer {
	ctx, stop := context.WithCancel(r.Context())
	under := &transfer{ctx: ctx, stop: stop}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.transfers[attempt] = under
	return under
}

// endTransfer unregisters an import. The caller must hold the mutex.
func (e *Engine) endTransfer(attempt string, under *transfer) {
	under.stop()
	if e.transfers[attempt] == under {
		delete(e.transfers, attempt)
	}
}
