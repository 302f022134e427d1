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
	// RetryAfter is in seconds, as in the header.
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

// status returns the HTTP status of a refusal.
func status(reason router.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func refusalBody(request string, refusal *router.Refusal) wireRefusal {
	return wireRefusal{Error: wireRefusalBody{
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		Message:    refusal.Message,
		Request:    request,
		RetryAfter: wholeSeconds(refusal.RetryAfter),
	}}
}

// writeRefusal answers with a refusal before anything else was written.
func writeRefusal(w http.ResponseWriter, request string, refusal *router.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(wholeSeconds(refusal.RetryAfter)))
	}
	w.WriteHeader(status(refusal.Reason))
	// A caller that is gone does not read it; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(refusalBody(request, refusal))
}

// wholeSeconds rounds up, so that callers do not come back too early.
func wholeSeconds(span time.Duration) int {
	return int(math.Ceil(span.Seconds()))
}
