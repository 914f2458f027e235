// Package outlier judges backend servers by what their answers show, not by what they report of themselves. It
// answers the load in which a backend server fails part of its requests while its health check is good. It does no
// I/O and reads no clock.
package outlier

import (
	"time"
)

const (
	// firstPause and maxPause bound how long a backend server that does not answer gets no work; each further failure
	// in a row doubles the pause.
	firstPause = 400 * time.Millisecond
	maxPause   = 3 * time.Second
	// memory is the weight of the past in the average of failures; about the last 12 answers count.
	memory = 0.92
	// minAnswers is how many answers are needed before a failure rate is judged.
	minAnswers = 8
	// excess is how far a failure rate may lie above the group's median. Some requests fail at every backend server.
	excess = 0.25
	// greyPause is how long a backend server with too many failures gets no work before it is tried again.
	greyPause = 2 * time.Second
)

// Result is what one send to a backend server showed.
type Result int

// Results of sends.
const (
	// Answered is an answer that the backend server made, other than a server error.
	Answered Result = iota
	// Failed is a server error or an answer that broke off.
	Failed
	// Unreachable means that no connection came about or no answer came.
	Unreachable
	// Rejected is an answer that the request was not run. A backend server that is full for a moment gives it, and one
	// that takes no work for seconds.
	Rejected
)

type record struct {
	failures float64
	answers  int
	inRow    int
	// rejections is how many sends in a row were rejected.
	rejections int
	pausedTil  time.Time
}

// Detector keeps a record for each backend server. It is not safe for concurrent use.
type Detector struct {
	records map[string]*record
}

// New returns a detector without records.
func New() *Detector { return &Detector{records: map[string]*record{}} }

// Observe records the result of a send. It reports whether the backend server is paused from now on.
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
	if r != Answered {
		failure = 1
	}
	rec.failures = memory*rec.failures + (1-memory)*failure
	rec.answers++
	if r != Unreachable {
		rec.inRow = 0
	} else {
		rec.inRow++
		pause := min(firstPause<<min(rec.inRow-1, 8), maxPause)
		rec.pausedTil = now.Add(pause)
		return true
	}
	if r == Failed && rec.answers >= minAnswers && rec.failures > d.median()+excess {
		rec.pausedTil = now.Add(greyPause)
		// The next tries decide anew.
		rec.answers = minAnswers / 2
		rec.failures = d.median()
		return true
	}
	return false
}

// rejected pauses a backend server from its second rejection in a row on, for twice as long each time.
func (r *record) rejected(now time.Time) bool {
	r.rejections++
	if r.rejections < 2 {
		return false
	}
	r.pausedTil = now.Add(min(firstPause<<min(r.rejections-2, 8), maxPause))
	return true
}

func (d *Detector) median() float64 {
	var rates []float64
	for _, r := range d.records {
		if r.answers >= minAnswers {
			rates = append(rates, r.failures)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return medianOf(rates)
}

// Paused tells whether a backend server gets no work at present.
func (d *Detector) Paused(key string, now time.Time) bool {
	rec := d.records[key]
	return rec != nil && now.Before(rec.pausedTil)
}

// Forget drops the records of backend servers that keep does not report.
func (d *Detector) Forget(keep func(key string) bool) {
	for key := range d.records {
		if !keep(key) {
			delete(d.records, key)
		}
	}
}
