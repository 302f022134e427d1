package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in of a plain service that books visits. It does not
// recognise repeated keys: it counts how often it executed each.
type Service struct {
	// Delay is how long an execution takes.
	Delay time.Duration

	mutex      sync.Mutex
	executions map[string]int
	total      int
	lose       int
	// failing makes every execution end with a fault of the service.
	failing bool
}

type serviceAnswer struct {
	Number int    `json:"number"`
	Echo   string `json:"echo"`
}

// NewService returns a service that has executed nothing.
func NewService(delay time.Duration) *Service {
	return &Service{Delay: delay, executions: map[string]int{}}
}

// ServeHTTP executes a call, or answers the counts under /counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/counts" {
		_ = json.NewEncoder(w).Encode(s.Executions())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	s.total++
	number := s.total
	s.executions[r.Header.Get("Idempotency-Key")]++
	failing := s.failing
	lost := s.lose > 0
	if lost {
		s.lose--
	}
	s.mutex.Unlock()
	if !pause(r.Context(), s.Delay) || lost {
		panic(http.ErrAbortHandler)
	}
	if failing {
		http.Error(w, "the case file is locked", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceAnswer{Number: number, Echo: string(body)})
}

// LoseAnswers makes the next executions take effect without an answer.
func (s *Service) LoseAnswers(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lose = count
}

// Fail makes the executions from now on end with a fault of the service.
func (s *Service) Fail() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failing = true
}

// Executions returns how often each key was executed.
func (s *Service) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, count := range s.executions {
		counts[key] = count
	}
	return counts
}
