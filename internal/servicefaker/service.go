package servicefaker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/timer"
)

// Headers of the contract between the router and plain services.
const (
	// HeaderRequestID carries the request id.
	HeaderRequestID = "Idempotency-Key"
	// HeaderNotRun is "true" on an answer to a request that the service did not run.
	HeaderNotRun = "Rattantray-Not-Run"
)

const maxBodyBytes = 8 << 20

// Config holds the settings of a fake service.
type Config struct {
	Name  string
	Clock timer.Clock
	// Deduplicate answers a repeated Idempotency-Key from memory instead of running the request again.
	Deduplicate bool
	// WorkTime is how long each request takes.
	WorkTime time.Duration
}

// Run is one entry of the ledger: a request that ran.
type Run struct {
	RequestID string `json:"request-id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Count is how many times the service has run the request id, this run included.
	Count int       `json:"count"`
	Time  time.Time `json:"time"`
	Body  string    `json:"body,omitempty"`
}

// Ledger is the JSON body that GET /ledger returns.
type Ledger struct {
	Service string `json:"service"`
	Runs    []Run  `json:"runs"`
}

// Service is a fake booking application.
type Service struct {
	config Config
	faults faultList

	mu      sync.Mutex
	runs    []Run
	counts  map[string]int
	answers map[string][]byte
}

// New returns a service with an empty ledger.
func New(config Config) *Service {
	if config.Clock == nil {
		config.Clock = timer.System{}
	}
	if config.Name == "" {
		config.Name = "booking"
	}
	return &Service{config: config, counts: map[string]int{}, answers: map[string][]byte{}}
}

// Handler serves the booking application, GET /ledger, /faults and GET /healthz.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status/{id}", s.serve(false))
	mux.HandleFunc("GET /cards/status", s.serve(false))
	mux.HandleFunc("POST /bookings", s.serve(true))
	mux.HandleFunc("POST /cards", s.serve(true))
	mux.HandleFunc("GET /ledger", s.serveLedger)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("DELETE /faults", s.clearFaults)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

// AddFault activates a fault as POST /faults does; it returns an error if the fault is invalid.
func (s *Service) AddFault(f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.faults.add(f)
	return nil
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{Service: s.config.Name, Runs: append([]Run{}, s.runs...)}
}

func (s *Service) serve(hasEffect bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			w.Header().Set(HeaderNotRun, "true")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fault, _ := s.faults.consume(r.URL.Path)
		if s.failBeforeRun(w, r, fault) {
			return
		}
		if s.config.Clock.Sleep(r.Context(), s.config.WorkTime) != nil {
			return
		}
		answer := s.run(r, body, hasEffect)
		switch fault.Type {
		case FaultDropAnswer:
			panic(http.ErrAbortHandler)
		case FaultStall:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	}
}

// failBeforeRun applies the faults that come before the run and reports whether they ended the request.
func (s *Service) failBeforeRun(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault.Type {
	case FaultDelay:
		return s.config.Clock.Sleep(r.Context(), fault.delay()) != nil
	case FaultDieBeforeRun:
		panic(http.ErrAbortHandler)
	case FaultRefuse:
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return true
	case FaultRefuseBare:
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Service) run(r *http.Request, body []byte, hasEffect bool) []byte {
	id := r.Header.Get(HeaderRequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if hasEffect && s.config.Deduplicate && id != "" {
		if answer, ok := s.answers[id]; ok {
			return answer
		}
	}
	s.counts[id]++
	s.runs = append(s.runs, Run{
		RequestID: id,
		Method:    r.Method,
		Path:      r.URL.Path,
		Count:     s.counts[id],
		Time:      s.config.Clock.Now(),
		Body:      string(body),
	})
	answer := s.answer(r, id, hasEffect)
	if hasEffect && s.config.Deduplicate && id != "" {
		s.answers[id] = answer
	}
	return answer
}

type bookingAnswer struct {
	Service   string `json:"service"`
	RequestID string `json:"request-id"`
	Number    int    `json:"number,omitempty"`
	Card      string `json:"card,omitempty"`
	Status    string `json:"status"`
}

func (s *Service) answer(r *http.Request, id string, hasEffect bool) []byte {
	a := bookingAnswer{Service: s.config.Name, RequestID: id, Status: "valid"}
	if hasEffect {
		a.Number = len(s.runs)
		a.Status = "done"
	} else {
		a.Card = strings.TrimPrefix(r.URL.Path, "/status/")
	}
	out, _ := json.Marshal(a)
	return out
}

func (s *Service) serveLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Ledger())
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Fault
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.AddFault(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) clearFaults(w http.ResponseWriter, _ *http.Request) {
	s.faults.clear()
	w.WriteHeader(http.StatusNoContent)
}
