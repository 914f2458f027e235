package users

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"
)

// Command is a command that the backend server accepted; At is the time of receipt.
type Command struct {
	At           time.Time
	Operation    string `json:"operation"`
	Stage        string `json:"stage"`
	Leader       string `json:"holder"`
	FencingToken int64  `json:"fencingToken"`
	Expected     int    `json:"expected"`
}

// Commands returns the accepted commands and the number of requests received for the wrong stage.
func (w *Worker) Commands() (accepted []Command, wrongStage int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Command(nil), w.commands...), w.wrongStage
}

func (w *Worker) serveCommand(rw http.ResponseWriter, r *http.Request) {
	c := Command{At: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.Leader == "" || c.FencingToken == 0 || c.Operation != "stage" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changing || c.Expected != len(w.commands) {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.commands = append(w.commands, c)
	w.changing = true
	time.AfterFunc(w.StageChange, func() {
		w.mu.Lock()
		w.Stage, w.changing = c.Stage, false
		store := w.registeredAt
		w.mu.Unlock()
		w.Register(store, "ready")
	})
	rw.WriteHeader(http.StatusAccepted)
}

// Arrivals counts how often a request reached a backend server: Prefills as prefill calls, Others as other calls.
type Arrivals struct{ Prefills, Others int }

// Arrivals returns the counts by request id.
func (w *Worker) Arrivals() map[string]Arrivals {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.arrivals)
}

// countArrival counts a request by its id. It always returns true, so that ServeHTTP can call it in a case expression.
func (w *Worker) countArrival(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := r.Header.Get("Request-Id")
	a := w.arrivals[id]
	if r.Header.Get("Serving-Stage") == "prefill" {
		a.Prefills++
	} else {
		a.Others++
	}
	w.arrivals[id] = a
	w.arrivedAt, w.arrivedIDs = append(w.arrivedAt, time.Now()), append(w.arrivedIDs, id)
	return true
}

// refusesStage reports whether a request must be refused because the stage is changing or the request is for the other
// stage. It counts such requests.
func (w *Worker) refusesStage(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wrong := w.Stage != "" && (w.changing || r.Header.Get("Serving-Stage") == "prefill" != (w.Stage == "prefill"))
	if wrong {
		w.wrongStage++
	}
	return wrong
}
