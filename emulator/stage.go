package emulator

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// StageOrder is the body of a request to change an instance's stage.
type StageOrder struct {
	Op     string `json:"op"`
	Stage  string `json:"stage"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// Orders returns the well-formed stage orders that were addressed to the instance.
func (i *Instance) Orders() []StageOrder {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Clone(i.orders)
}

// Stage returns the current stage: prefill, decode or empty for a plain server.
func (i *Instance) Stage() string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.options.Stage
}

// Declined returns how many requests were declined during stage changes.
func (i *Instance) Declined() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.declined
}

// SetSwitch sets how long a stage change takes.
func (i *Instance) SetSwitch(takes time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.options.Switch = takes
}

// declineDuringSwitch reports whether a stage change is under way and counts the decline.
func (i *Instance) declineDuringSwitch() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.switching {
		i.declined++
	}
	return i.switching
}

// order handles a request to change the instance's stage.
func (i *Instance) order(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != i.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var order StageOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "stage" || order.Holder == "" || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mutex.Lock()
	i.orders = append(i.orders, order)
	delay := i.faults.OrderDelay
	i.mutex.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { i.carryOut(order) })
		<-r.Context().Done()
		return
	}
	w.WriteHeader(i.carryOut(order))
}

// carryOut starts the stage change of an order and returns the status of its answer.
func (i *Instance) carryOut(order StageOrder) int {
	i.mutex.Lock()
	unchanged, switching := order.Stage == i.options.Stage, i.switching
	i.switching = switching || !unchanged
	i.mutex.Unlock()
	switch {
	case unchanged:
		return http.StatusOK
	case switching:
		return http.StatusConflict
	default:
		time.AfterFunc(i.options.Switch, func() { i.change(order.Stage) })
		return http.StatusAccepted
	}
}

// change completes a stage change and calls options.Changed.
func (i *Instance) change(stage string) {
	i.mutex.Lock()
	i.options.Stage, i.switching = stage, false
	i.mutex.Unlock()
	if i.options.Changed != nil {
		i.options.Changed(stage)
	}
}
