package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id string
	at time.Time
}

// worker is a backend server of the plain service.
type worker struct {
	f              *fleet
	id, zone, addr string
	born           int64
	coldUntil      time.Time
	work           time.Duration
	server         *http.Server

	mu   sync.Mutex
	seq  int
	runs []run
}

// addWorker starts a worker that is slow for cold and registers it.
func (f *fleet) addWorker(id, zone string, cold time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{f: f, id: id, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), coldUntil: time.Now().Add(cold), work: 60 * time.Millisecond}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	w.register()
	f.line("worker %s started in %s", id, zone)
	return w, nil
}

// register writes the entry of the worker, as it does at each heartbeat. While the worker is cold, each one changes the entry.
func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	left := max(time.Until(w.coldUntil).Milliseconds(), 0)
	value, _ := json.Marshal(map[string]any{
		"service": "app", "address": w.addr, "zone": w.zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": left, "seq": w.seq, "born": w.born,
	})
	w.mu.Unlock()
	w.f.store.Put("servers/"+w.id, value)
}

func (w *worker) ranAfter(t time.Time) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id, time.Now()})
	w.mu.Unlock()
	w.f.line("worker %s runs %s", w.id, id)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Response-Stamp", w.id+"."+id)
	rw.Header().Set("Load-Report", "1,0,6")
	_, _ = fmt.Fprintf(rw, "answer to %s by %s", id, w.id)
}
