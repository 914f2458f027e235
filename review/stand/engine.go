package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots    = 12
	engineMemory   = 106421
	tokensPerEvent = 70
	// stepTime and stepTimePerRun make up the time of one output token; prefillRate is in prompt tokens a millisecond.
	stepTime, stepTimePerRun = 605 * time.Microsecond, 9060 * time.Nanosecond
	prefillRate              = 55.5556
	handleTime               = 500 * time.Millisecond
	stageSwitch              = 6 * time.Second
)

// engine is a stand-in for a model worker.
type engine struct {
	r        *rig
	fleet    *engines
	id, addr string
	born     int64
	server   *http.Server
	// turn is taken by the prompt that is being read.
	turn chan struct{}

	mu       sync.Mutex
	stage    string
	changing bool
	seq      int
	running  int
	memory   int
	holds    map[string]hold
	handles  map[string]int
	state    string
	// beats counts the heartbeats, which end when gone is set.
	beats int
	gone  bool
	// leftAt is when the store accepted that the engine is draining.
	leftAt time.Time
	// silent decides which prefill calls hang, nil for none.
	silent func() bool
	// runs are the admitted runs in the order of their admission.
	runs []*run
	// crashing is set when the engine is to stop inside the events that it writes next.
	crashing bool
}

type hold struct {
	tokens int
	until  time.Time
}

// engines are all engines by address.
type engines struct {
	mu        sync.Mutex
	byAddress map[string]*engine
	last      int
	// onDecode is called when a request to generate arrives at an engine.
	onDecode func(e *engine, id string)
	// data returns the data of an event.
	data func(event int, id string) string
	// grows is set when the memory of a run grows with its output, so that runs may be preempted.
	grows bool
}

func newEngines() *engines {
	return &engines{
		byAddress: map[string]*engine{}, onDecode: func(*engine, string) {},
		data: func(event int, id string) string { return fmt.Sprintf("part %d of %s", event, id) },
	}
}

// start starts an engine and registers it.
func (f *engines) start(r *rig, stage string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.last++
	e := &engine{
		r: r, fleet: f, id: fmt.Sprintf("i-%s%02d", stage, f.last), addr: l.Addr().String(), born: time.Now().UnixMilli(), stage: stage,
		turn: make(chan struct{}, 1), holds: map[string]hold{}, handles: map[string]int{}, state: "ready",
	}
	f.byAddress[e.addr] = e
	f.mu.Unlock()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.register()
	go e.beat()
	return e, nil
}

// beat registers the engine again at each heartbeat, until it has gone.
func (e *engine) beat() {
	for e.register() {
		time.Sleep(heartbeat)
	}
}

// register writes the entry of the engine, and reports false once the engine has gone.
func (e *engine) register() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return false
	}
	e.beats++
	value, _ := json.Marshal(map[string]any{
		"service": "writers", "address": e.addr, "zone": zone, "version": "v1", "slots": engineSlots, "state": e.state, "coldLeftMs": 0,
		"stage": e.stage, "seq": e.beats, "born": e.born,
	})
	e.r.store.Put("servers/"+e.id, value)
	return true
}

// stop ends the engine and its heartbeats.
func (e *engine) stop() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
}

// leave reports that the engine is draining, serves for drainTime and a little longer, and exits.
func (e *engine) leave(longer time.Duration) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.register()
	e.mu.Lock()
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.r.note("engine %s is draining: the store has accepted it", e.id)
	time.AfterFunc(drainTime+longer, func() {
		e.stop()
		e.r.store.Remove("servers/" + e.id)
		e.r.note("engine %s has exited", e.id)
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch path := q.URL.Path; {
	case path == "/api/hold-take":
		e.takeHold(w, q)
	case strings.HasPrefix(path, "/api/hold-drop/"):
		e.mu.Lock()
		delete(e.holds, strings.TrimPrefix(path, "/api/hold-drop/"))
		e.mu.Unlock()
	case strings.HasPrefix(path, "/api/kv-handle/"):
		e.takeHandle(strings.TrimPrefix(path, "/api/kv-handle/"))
	case path == "/api/report":
		e.report(w)
	case path == "/api/order":
		e.order(w, q)
	case q.Header.Get("Serving-Stage") == "prefill":
		e.prefill(w, q)
	default:
		e.decode(w, q)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// heldNow returns the slots and the memory that unused holds take. e.mu must be held.
func (e *engine) heldNow() (slots, tokens int) {
	for id, h := range e.holds {
		if time.Now().After(h.until) {
			delete(e.holds, id)
			continue
		}
		slots, tokens = slots+1, tokens+h.tokens
	}
	return slots, tokens
}

func (e *engine) takeHold(w http.ResponseWriter, q *http.Request) {
	var v struct {
		Tokens int   `json:"tokens"`
		TTLMs  int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(q.Body).Decode(&v)
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, tokens := e.heldNow()
	if e.stage != "decode" || e.changing {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running+slots >= engineSlots || e.memory+tokens+v.Tokens > engineMemory || e.firstPreempted() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := fmt.Sprintf("%s-%x", e.id, time.Now().UnixNano())
	e.holds[id] = hold{v.Tokens, time.Now().Add(time.Duration(v.TTLMs) * time.Millisecond)}
	answer(w, http.StatusOK, map[string]any{"hold": id})
}

// takeHandle removes a handle and reports whether it was there.
func (e *engine) takeHandle(handle string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, kept := e.handles[handle]
	delete(e.handles, handle)
	return kept
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.changing, "seq": e.seq,
		"queued": 0, "running": e.running, "kvUsed": e.memory, "kvTotal": engineMemory, "handles": len(e.handles),
	})
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var v struct {
		Operation, Stage, Holder string
		FencingToken             int64
		Expected                 *int
	}
	err := json.NewDecoder(q.Body).Decode(&v)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err != nil || v.Operation != "stage" || v.Holder == "" || v.FencingToken == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case e.changing || v.Expected != nil && *v.Expected != e.seq:
		w.WriteHeader(http.StatusConflict)
		return
	case e.stage == v.Stage:
		return
	}
	e.seq++
	e.changing = true
	e.r.note("engine %s takes an order of %s: stage %s", e.id, v.Holder, v.Stage)
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(stageSwitch, func() {
		e.mu.Lock()
		e.stage, e.changing = v.Stage, false
		e.mu.Unlock()
		e.register()
	})
}

// refuse answers that the request is not run.
func refuse(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// read takes the time in which a prompt is read, one prompt after the other.
func (e *engine) read(ctx context.Context, tokens int, rate float64) bool {
	select {
	case e.turn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.turn }()
	return pause(ctx, time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func promptOf(q *http.Request) (prompt, output int) {
	_, _ = fmt.Sscanf(q.Header.Get("Token-Counts"), "%d,%d", &prompt, &output)
	return prompt, output
}

func (e *engine) prefill(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	wrong, hangs := e.stage != "prefill" || e.changing, e.silent != nil && e.silent()
	e.mu.Unlock()
	if wrong {
		refuse(w, q, http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Request-Id")
	if hangs {
		e.r.note("engine %s leaves the prefill of %s unanswered", e.id, id)
		<-q.Context().Done()
		return
	}
	tokens, _ := promptOf(q)
	if !e.read(q.Context(), tokens, prefillRate) {
		return
	}
	handle := fmt.Sprintf("%x", time.Now().UnixNano())
	e.mu.Lock()
	e.handles[handle] = tokens
	e.mu.Unlock()
	time.AfterFunc(handleTime, func() { e.takeHandle(handle) })
	w.Header().Set("Request-Id", id)
	answer(w, http.StatusOK, map[string]any{"handle": handle, "tokens": tokens, "version": 1})
}

// run is a request that an engine generates for.
type run struct {
	id                string
	prompt, generated int
	preempted         bool
	// held is the number of tokens that the run's hold covers. It is not preempted while it needs no more.
	held int
}

// admit takes a slot and memory for a run, or returns nil. A hold that has not expired is used up by it.
func (e *engine) admit(q *http.Request, prompt int) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldNow()
	id := q.Header.Get("Kv-Hold")
	covered := e.holds[id].tokens
	delete(e.holds, id)
	slots, held := e.heldNow()
	if e.changing || e.running+slots >= engineSlots || e.memory+held+prompt > engineMemory {
		return nil
	}
	r := &run{id: q.Header.Get("Request-Id"), prompt: prompt, held: covered}
	e.runs = append(e.runs, r)
	e.running++
	e.memory += prompt
	return r
}

// end frees the slot and the memory of a run.
func (e *engine) end(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
	e.running--
	if !r.preempted {
		e.memory -= r.prompt + r.generated
	}
}

// firstPreempted returns the oldest preempted run. e.mu must be held.
func (e *engine) firstPreempted() *run {
	for _, r := range e.runs {
		if r.preempted {
			return r
		}
	}
	return nil
}

// grow takes the memory for one more event. When there is none left, the newest run is preempted: it waits until there is room for
// it and is read in again.
func (e *engine) grow(ctx context.Context, r *run) bool {
	for ctx.Err() == nil {
		if done, again := e.tryGrow(r); done {
			return true
		} else if again && !e.read(ctx, r.prompt+r.generated, prefillRate/2) || !again && !pause(ctx, 10*time.Millisecond) {
			return false
		}
	}
	return false
}

// tryGrow reports whether the memory for one more event was taken, or else whether the run has to be read in again.
func (e *engine) tryGrow(r *run) (done, again bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.preempted {
		if e.firstPreempted() != r || e.memory+r.prompt+r.generated+tokensPerEvent > engineMemory {
			return false, false
		}
		r.preempted = false
		e.memory += r.prompt + r.generated
		e.r.note("engine %s reads %s in again", e.id, r.id)
		return false, true
	}
	for e.memory+tokensPerEvent > engineMemory {
		newest := r
		for _, other := range e.runs {
			if !other.preempted && other.prompt+other.generated > other.held {
				newest = other
			}
		}
		newest.preempted = true
		e.memory -= newest.prompt + newest.generated
		e.r.note("engine %s is out of memory and preempts %s", e.id, newest.id)
		if newest == r {
			return false, false
		}
	}
	e.memory += tokensPerEvent
	r.generated += tokensPerEvent
	return true, false
}

// fetch takes the memory of a prompt that another engine has read. It returns false if that is gone.
func (f *engines) fetch(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	f.mu.Lock()
	from := f.byAddress[address]
	f.mu.Unlock()
	return from != nil && from.takeHandle(handle)
}

func (e *engine) decode(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	e.fleet.onDecode(e, id)
	prompt, output := promptOf(q)
	e.mu.Lock()
	wrong := e.stage != "decode"
	e.mu.Unlock()
	if wrong {
		refuse(w, q, http.StatusMisdirectedRequest)
		return
	}
	source := q.Header.Get("Kv-Source")
	if source != "" && !e.fleet.fetch(source) {
		refuse(w, q, http.StatusServiceUnavailable)
		return
	}
	r := e.admit(q, prompt)
	if r == nil {
		refuse(w, q, http.StatusServiceUnavailable)
		return
	}
	defer e.end(r)
	if source == "" && !e.read(q.Context(), prompt, prefillRate/2) {
		return
	}
	e.r.note("engine %s runs %s", e.id, id)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	last := max(output/tokensPerEvent, 1)
	if n, err := strconv.Atoi(q.Header.Get("Events")); err == nil {
		last = n
	}
	e.generate(w, q, r, after+1, last)
}

// generate writes the events of a stream, from the first to the last one.
func (e *engine) generate(w http.ResponseWriter, q *http.Request, r *run, first, last int) {
	for i := first; i <= last; i++ {
		e.mu.Lock()
		step := stepTime + time.Duration(e.running)*stepTimePerRun
		e.mu.Unlock()
		if !pause(q.Context(), tokensPerEvent*step) || e.fleet.grows && !e.grow(q.Context(), r) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n", i, e.fleet.data(i, r.id))
		if e.isCrashing() {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("\n"))
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *engine) isCrashing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashing
}

// crash ends the engine inside an event of each of its streams. Its entry expires, and it is back after a while, as a new one.
func (e *engine) crash(away time.Duration) {
	e.r.note("engine %s crashes", e.id)
	e.mu.Lock()
	e.crashing = true
	e.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	e.stop()
	time.AfterFunc(expiry, func() { e.r.store.Remove("servers/" + e.id) })
	time.AfterFunc(away, func() {
		fresh, err := e.fleet.start(e.r, "decode")
		if err != nil {
			e.r.note("engine %s does not start again: %v", e.id, err)
			return
		}
		e.r.note("engine %s is back as %s", e.id, fresh.id)
	})
}
