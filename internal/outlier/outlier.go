// Package outlier detects faulty backend servers from the results of requests sent to them rather than from their
// health checks: a backend server may fail some of its requests while its health check succeeds. The package does no
// I/O and reads no clock.
package outlier

import (
	"time"
)

const (
	// firstPause is how long an unreachable backend server gets no requests. Each further consecutive failure doubles
	// the pause, up to maxPause.
	firstPause = 400 * time.Millisecond
	maxPause   = 3 * time.Second
	// decay is the weight of the previous value in the exponential moving average of failures, which covers about the
	// last 12 responses.
	decay = 0.92
	// minResults is the number of results needed before a failure rate is evaluated.
	minResults = 8
	// excess is how far a failure rate may exceed the median failure rate of all backend servers. The comparison is
	// relative because some requests fail at every backend server.
	excess = 0.25
	// ejectionTime is how long a backend server with an excessive failure rate gets no requests before it is tried
	// again.
	ejectionTime = 2 * time.Second
)

// Result classifies the outcome of one send to a backend server.
type Result int

// Results of sends.
const (
	// Succeeded is a complete response other than a server error.
	Succeeded Result = iota
	// Failed is a server error or a response that was cut off.
	Failed
	// Unreachable means that the connection failed or no response was received.
	Unreachable
	// Rejected is a response that says that the request was not run. It may come from a backend server that is briefly
	// full, or from one that accepts no requests for seconds.
	Rejected
)

// record is the recent history of one backend server.
type record struct {
	// failures is the moving average of failures, 0 to 1.
	failures float64
	results  int
	// unreachable is the number of consecutive sends that found the backend server unreachable.
	unreachable int
	// rejections is the number of consecutive sends that were rejected.
	rejections  int
	pausedUntil time.Time
}

// Detector decides from the results of sends which backend servers are paused. It is not safe for concurrent use.
type Detector struct {
	records map[string]*record
}

// New returns a detector in which no backend server is paused.
func New() *Detector { return &Detector{records: map[string]*record{}} }

// Observe records the result of a send to a backend server and reports whether the result led to a pause.
func (d *Detector) Observe(key string, r Result, now time.Time) bool {
	rec := d.records[key]
	if rec == nil {
		rec = &record{}
		d.records[key] = rec
	}
	if r == Rejected {
		return rec.rejected(now)
	}
	rec.rejections = 0
	failure := 0.0
	if r != Succeeded {
		failure = 1
	}
	rec.failures = decay*rec.failures + (1-decay)*failure
	rec.results++
	if r != Unreachable {
		rec.unreachable = 0
	} else {
		rec.unreachable++
		pause := min(firstPause<<min(rec.unreachable-1, 8), maxPause)
		rec.pausedUntil = now.Add(pause)
		return true
	}
	if r == Failed && rec.results >= minResults && rec.failures > d.median()+excess {
		rec.pausedUntil = now.Add(ejectionTime)
		// A further pause needs at least minResults/2 more results, so that the results after this pause decide.
		rec.results = minResults / 2
		rec.failures = d.median()
		return true
	}
	return false
}

// rejected pauses a backend server from its second consecutive rejection on, and doubles the pause with each further
// one up to maxPause.
func (r *record) rejected(now time.Time) bool {
	r.rejections++
	if r.rejections < 2 {
		return false
	}
	r.pausedUntil = now.Add(min(firstPause<<min(r.rejections-2, 8), maxPause))
	return true
}

// median returns the median failure rate of the backend servers with enough results.
func (d *Detector) median() float64 {
	var rates []float64
	for _, r := range d.records {
		if r.results >= minResults {
			rates = append(rates, r.failures)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return medianOf(rates)
}

// Paused reports whether a backend server currently gets no requests.
func (d *Detector) Paused(key string, now time.Time) bool {
	rec := d.records[key]
	return rec != nil && now.Before(rec.pausedUntil)
}

// Retain removes the records of the backend servers for which keep returns false.
func (d *Detector) Retain(keep func(key string) bool) {
	for key := range d.records {
		if !keep(key) {
			delete(d.records, key)
		}
	}
}
