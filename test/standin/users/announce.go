package users

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Refusal is a refusal that named a wait: the server wants no request from the host before Until.
type Refusal struct {
	RequestID string
	At, Until time.Time
}

// Arrival is a request that reached the server, whatever its answer.
type Arrival struct {
	RequestID string
	At        time.Time
}

// AnnounceLeaving makes all responses announce that the server leaves. Registering it as draining does so as well.
func (w *Worker) AnnounceLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// RefuseFor makes the server refuse requests and reservations for a time, with a Retry-After of what is left of it.
func (w *Worker) RefuseFor(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusingUntil = time.Now().Add(d)
}

// FallSilent makes the server send and begin nothing for a time.
func (w *Worker) FallSilent(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(d)
}

// Refusals returns the refusals that named a wait.
func (w *Worker) Refusals() []Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.refusals)
}

// ArrivalTimes returns the requests in the order of arrival.
func (w *Worker) ArrivalTimes() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Arrival, len(w.arrivedAt))
	for i := range out {
		out[i] = Arrival{RequestID: w.arrivedIDs[i], At: w.arrivedAt[i]}
	}
	return out
}

func (w *Worker) awaitSilence() {
	w.mu.Lock()
	until := w.silentUntil
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

// announceLeaving sets the header of a server that leaves.
func (w *Worker) announceLeaving(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
}

// refuse refuses a request or a reservation while RefuseFor is in force.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request) bool {
	reservation := r.URL.Path == "/api/hold-take"
	if strings.HasPrefix(r.URL.Path, "/api/") && !reservation {
		return false
	}
	w.mu.Lock()
	until := w.refusingUntil
	w.mu.Unlock()
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	id := r.Header.Get("Request-Id")
	if !reservation {
		w.countArrival(r)
		rw.Header().Set("Request-Id", id)
		rw.Header().Set("Not-Executed", "1")
	}
	w.mu.Lock()
	w.refusals = append(w.refusals, Refusal{RequestID: id, At: time.Now(), Until: until})
	w.mu.Unlock()
	rw.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	rw.WriteHeader(http.StatusServiceUnavailable)
	return true
}
