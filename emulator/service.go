package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a fake plain service. It does not deduplicate idempotency keys: it
// counts the executions of each.
type Service struct {
	// Delay is how long an execution takes.
	Delay time.Duration

	mutex      sync.Mutex
	executions map[string]int
	total      int
	lose       int
	// failing makes every execution answer with status 500.
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

// ServeHTTP executes a request, or returns the execution counts under /counts.
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

// LoseAnswers makes the next count executions take effect and then abort the connection.
func (s *Service) LoseAnswers(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lose = count
}

// Fail makes all later executions answer with status 500.
func (s *Service) Fail() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failing = true
}

// Executions returns the number of executions by idempotency key.
func (s *Service) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.executions))
	for key, count := range s.executions {
		counts[key] = count
	}
	return counts
}
