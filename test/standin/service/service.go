// Package service is a stand-in for a plain HTTP service. It counts the calls that it ran, and can be set to fail
// before running a call, to drop the response after running it, or to respond slowly.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine/openai"
)

// maxBody is the size limit of request bodies in bytes.
const maxBody = 16 << 20

// Faults selects the faults to inject. Counters are decremented by each use.
type Faults struct {
	// FailBefore is the number of calls refused before they run, with the header that marks them as not run.
	FailBefore int
	// CutBefore is the number of calls whose connection is closed before they run. The client cannot distinguish
	// this from CutAfter.
	CutBefore int
	// CutAfter is the number of calls whose connection is closed after they ran, so that the response is lost.
	CutAfter int
	// FailAfter is the number of calls that run and get status 500.
	FailAfter int
	// Slow delays each successful response after the call ran.
	Slow time.Duration
}

// Report lists the calls that the service ran and the violations it recorded.
type Report struct {
	// RanByRequest, RanByKey and RanByBody count the calls that ran, by request id, idempotency key and body.
	RanByRequest map[string]int `json:"ran_by_request"`
	RanByKey     map[string]int `json:"ran_by_key"`
	RanByBody    map[string]int `json:"ran_by_body"`
	Violations   []string       `json:"violations"`
}

// Service is one stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	name string

	mu      sync.Mutex
	faults  Faults
	report  Report
	secrets []string
	once    func(path string) bool
}

// New returns a service without faults. The name appears in its responses.
func New(name string) *Service {
	return &Service{name: name, once: func(string) bool { return false }, report: Report{
		RanByRequest: map[string]int{}, RanByKey: map[string]int{}, RanByBody: map[string]int{},
	}}
}

// SetFaults replaces all injected faults, including their counters.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// RegisterSecret makes every later call that contains the secret a violation.
func (s *Service) RegisterSecret(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets = append(s.secrets, secret)
}

// SetOnce sets the predicate for paths on which a second run of a request id or idempotency key is a violation.
func (s *Service) SetOnce(once func(path string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.once = once
}

// Report returns a snapshot of the service's report.
func (s *Service) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{
		RanByRequest: maps.Clone(s.report.RanByRequest), RanByKey: maps.Clone(s.report.RanByKey),
		RanByBody: maps.Clone(s.report.RanByBody), Violations: slices.Clone(s.report.Violations),
	}
}

// ServeHTTP runs the call unless a fault prevents it. GET /standin/report returns the counts as JSON, POST
// /standin/faults sets the faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/report":
		_ = json.NewEncoder(w).Encode(s.Report())
		return
	case "/standin/faults":
		var f Faults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			s.SetFaults(f)
		}
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.scan(r, string(body))
	if id := r.Header.Get(openai.HeaderAttempt); id != "" {
		w.Header().Set(openai.HeaderAttempt, id)
	}
	s.run(w, r, string(body))
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, body string) {
	s.mu.Lock()
	refuse := consume(&s.faults.FailBefore)
	cut := !refuse && consume(&s.faults.CutBefore)
	if !refuse && !cut {
		s.count(r, body)
	}
	cut = cut || (!refuse && consume(&s.faults.CutAfter))
	fail := !refuse && !cut && consume(&s.faults.FailAfter)
	slow := s.faults.Slow
	s.mu.Unlock()
	switch {
	case refuse:
		w.Header().Set(openai.HeaderNotRun, openai.NotRunValue)
		w.WriteHeader(http.StatusServiceUnavailable)
	case cut:
		panic(http.ErrAbortHandler)
	case fail:
		http.Error(w, "failed after acting", http.StatusInternalServerError)
	default:
		time.Sleep(slow)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"service":%q,"path":%q,"body":%q}`, s.name, r.URL.Path, body)
	}
}

// count records a call that runs. The caller holds the lock.
func (s *Service) count(r *http.Request, body string) {
	id, key := r.Header.Get(openai.HeaderRequestID), r.Header.Get("Idempotency-Key")
	s.report.RanByRequest[id]++
	s.report.RanByBody[body]++
	if key != "" {
		s.report.RanByKey[key]++
	}
	if s.once(r.URL.Path) && ((id != "" && s.report.RanByRequest[id] > 1) || s.report.RanByKey[key] > 1) {
		s.report.Violations = append(s.report.Violations, "second run of "+r.URL.Path+" request "+id+" key "+key)
	}
}

// scan records a violation if the call contains a registered secret.
func (s *Service) scan(r *http.Request, body string) {
	query, _ := url.QueryUnescape(r.URL.RawQuery)
	seen := []string{body, r.URL.String(), query}
	for _, values := range r.Header {
		seen = append(seen, values...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, secret := range s.secrets {
		if slices.ContainsFunc(seen, func(text string) bool { return strings.Contains(text, secret) }) {
			s.report.Violations = append(s.report.Violations, "caller's key seen on "+r.URL.Path)
		}
	}
}

func consume(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}
