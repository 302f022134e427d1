package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/foxtailspool/foxtailspool/placer"
	"github.com/foxtailspool/foxtailspool/router"
)

type wireRefusal struct {
	Error wireRefusalBody `json:"error"`
}

type wireRefusalBody struct {
	Outcome router.Outcome `json:"outcome"`
	Reason  router.Reason  `json:"reason"`
	Message string         `json:"message"`
	Request string         `json:"request-id,omitempty"`
	// RetryAfter is in seconds, as in the Retry-After header.
	RetryAfter int `json:"retry-after,omitempty"`
}

var statuses = map[router.Reason]int{
	router.NoRoute:                  http.StatusNotFound,
	router.Malformed:                http.StatusBadRequest,
	router.TooLarge:                 http.StatusRequestEntityTooLarge,
	router.KeyMissing:               http.StatusBadRequest,
	router.KeyReused:                http.StatusUnprocessableEntity,
	router.KeyTooOld:                http.StatusGone,
	router.Quarantined:              http.StatusUnprocessableEntity,
	router.Superseded:               http.StatusConflict,
	router.AnswerLost:               http.StatusBadGateway,
	router.StreamLost:               http.StatusGone,
	router.Exhausted:                http.StatusBadGateway,
	router.TimedOut:                 http.StatusGatewayTimeout,
	router.AccountLimit:             http.StatusTooManyRequests,
	router.Reason(placer.QueueFull): http.StatusTooManyRequests,
}

// statusOf returns the HTTP status for a reason. Reasons not in statuses get 503.
func statusOf(reason router.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func newWireRefusal(request string, refusal *router.Refusal) wireRefusal {
	return wireRefusal{Error: wireRefusalBody{
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		Message:    refusal.Message,
		Request:    request,
		RetryAfter: ceilSeconds(refusal.RetryAfter),
	}}
}

// writeRefusal answers with a refusal. Nothing may have been written to w before.
func writeRefusal(w http.ResponseWriter, request string, refusal *router.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(refusal.RetryAfter)))
	}
	w.WriteHeader(statusOf(refusal.Reason))
	// Encode fails if the caller has disconnected; there is nobody else to report it to.
	_ = json.NewEncoder(w).Encode(newWireRefusal(request, refusal))
}

// ceilSeconds rounds up to whole seconds, so that callers do not retry too early.
func ceilSeconds(duration time.Duration) int {
	return int(math.Ceil(duration.Seconds()))
}
