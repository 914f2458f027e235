package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/engine/openai"
)

// Statuses of failures, used by the in-memory calls as well as over HTTP.
const (
	badRequestStatus = http.StatusBadRequest
	failedStatus     = http.StatusInternalServerError
	notFoundStatus   = http.StatusNotFound
	fullStatus       = http.StatusServiceUnavailable
)

// Paths outside the engine interface: export transfers between stand-in engines, and the report and faults for tests.
const (
	pathPin    = "/standin/pin"
	pathUnpin  = "/standin/unpin"
	pathReport = "/standin/report"
	pathFaults = "/standin/faults"
)

// Handler serves a Core over HTTP.
func Handler(c *Core) http.Handler {
	h := &handler{c: c}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", h.generate)
	mux.HandleFunc("POST /v1/chat/completions", h.generate)
	mux.HandleFunc("GET "+openai.PathStream, h.resume)
	mux.HandleFunc("POST "+openai.PathAbort, h.abort)
	mux.HandleFunc("GET "+openai.PathLoad, func(w http.ResponseWriter, r *http.Request) {
		load, err := c.Load(r.Context())
		respond(w, load, err)
	})
	mux.HandleFunc("GET "+openai.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		events, err := c.CacheEvents(r.Context(), after)
		respond(w, events, err)
	})
	mux.HandleFunc("GET "+openai.PathCacheBlocks, func(w http.ResponseWriter, r *http.Request) {
		blocks, seq, err := c.CacheBlocks(r.Context())
		respond(w, openai.CacheBlocksResponse{Blocks: blocks, Sequence: seq}, err)
	})
	mux.HandleFunc("GET "+openai.PathHoldings, func(w http.ResponseWriter, r *http.Request) {
		held, err := c.Holdings(r.Context())
		respond(w, held, err)
	})
	mux.HandleFunc("GET "+openai.PathState, func(w http.ResponseWriter, r *http.Request) {
		state, err := c.State(r.Context())
		respond(w, state, err)
	})
	mux.HandleFunc("POST "+openai.PathCommand, func(w http.ResponseWriter, r *http.Request) {
		var cmd engine.Command
		if readJSON(w, r, &cmd) {
			respond(w, struct{}{}, c.Apply(r.Context(), cmd))
		}
	})
	mux.HandleFunc("POST "+pathPin, func(w http.ResponseWriter, r *http.Request) {
		tokens, err := c.pinExport(r.Context(), r.URL.Query().Get("id"))
		respond(w, tokens, err)
	})
	mux.HandleFunc("POST "+pathUnpin, func(w http.ResponseWriter, r *http.Request) {
		c.unpinExport(r.Context(), r.URL.Query().Get("id"), r.URL.Query().Get("imported") == "true")
		respond(w, struct{}{}, nil)
	})
	mux.HandleFunc("GET "+pathReport, func(w http.ResponseWriter, _ *http.Request) { respond(w, c.Report(), nil) })
	mux.HandleFunc("POST "+pathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if readJSON(w, r, &f) {
			c.SetFaults(f)
			respond(w, struct{}{}, nil)
		}
	})
	return h.scanCalls(mux)
}

type handler struct{ c *Core }

// scanCalls scans every call for callers' keys and sets the attempt header of its response.
func (h *handler) scanCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.c.report.scanHTTP(r.Header.Get(openai.HeaderAttempt), r)
		if id := r.Header.Get(openai.HeaderAttempt); id != "" {
			h.c.mu.Lock()
			if r.URL.Path != openai.PathAbort && consume(&h.c.faults.CrossAnswers) {
				id = "other.1"
			}
			h.c.mu.Unlock()
			w.Header().Set(openai.HeaderAttempt, id)
		}
		next.ServeHTTP(w, r)
	})
}

// engineRequest holds the fields of an OpenAI request that select the engine call.
type engineRequest struct {
	Stream bool                     `json:"stream"`
	KV     *openai.KVTransferParams `json:"kv_transfer_params"`
}

func (h *handler) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHTTPBody))
	var in engineRequest
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		respond(w, nil, &engine.FailedError{Server: h.c.cfg.Name, Status: badRequestStatus, Cause: err})
		return
	}
	call := engine.Call{Attempt: attemptOf(r), Path: r.URL.Path, Body: body, Stream: in.Stream}
	if in.KV != nil && in.KV.DoRemoteDecode {
		h.prefill(w, r, call)
		return
	}
	var kv *engine.KVCacheHandle
	if in.KV != nil && in.KV.DoRemotePrefill {
		kv = &engine.KVCacheHandle{
			Server: in.KV.RemoteEngineID, ID: in.KV.RemoteRequestID,
			Addr: net.JoinHostPort(in.KV.RemoteHost, strconv.Itoa(in.KV.RemotePort)),
		}
	}
	s, err := h.c.Decode(r.Context(), call, kv)
	if err != nil {
		respond(w, nil, err)
		return
	}
	sendStream(w, s)
}

func (h *handler) prefill(w http.ResponseWriter, r *http.Request, call engine.Call) {
	kv, err := h.c.Prefill(r.Context(), call)
	if err != nil {
		respond(w, nil, err)
		return
	}
	host, port, _ := net.SplitHostPort(kv.Addr)
	number, _ := strconv.Atoi(port)
	respond(w, map[string]any{
		"id": kv.ID, "object": "text_completion", "choices": []any{}, "usage": usage(kv.Tokens, kv.Cached, 0),
		"kv_transfer_params": openai.KVTransferParams{
			DoRemotePrefill: true, RemoteEngineID: kv.Server, RemoteHost: host, RemotePort: number,
			RemoteRequestID: kv.ID,
		},
	}, nil)
}

func (h *handler) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.Header.Get(openai.HeaderLastEventID), 10, 64)
	if err != nil {
		respond(w, nil, &engine.FailedError{Server: h.c.cfg.Name, Status: badRequestStatus, Cause: err})
		return
	}
	s, err := h.c.Resume(r.Context(), attemptOf(r), offset)
	if err != nil {
		respond(w, nil, err)
		return
	}
	sendStream(w, s)
}

func (h *handler) abort(w http.ResponseWriter, r *http.Request) {
	var in openai.AbortRequest
	if readJSON(w, r, &in) {
		respond(w, struct{}{}, h.c.Abort(r.Context(), in.AttemptID))
	}
}

func attemptOf(r *http.Request) engine.Attempt {
	incarnation, _ := strconv.ParseUint(r.Header.Get(openai.HeaderIncarnation), 16, 64)
	priority, _ := strconv.Atoi(r.Header.Get(openai.HeaderPriority))
	return engine.Attempt{
		ID: r.Header.Get(openai.HeaderAttempt), Host: r.Header.Get(openai.HeaderHost),
		Incarnation: incarnation, Priority: priority,
	}
}

// sendStream writes server-sent events whose id is the output-token count after the event. If the stream fails,
// it closes the connection.
func sendStream(w http.ResponseWriter, s engine.Stream) {
	defer s.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		ch, err := s.Next()
		if errors.Is(err, io.EOF) {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", ch.Offset+ch.Tokens, ch.Data)
		if flusher.Flush() != nil {
			return
		}
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHTTPBody)).Decode(into); err != nil {
		http.Error(w, err.Error(), badRequestStatus)
		return false
	}
	return true
}

// respond writes v, or the error as an OpenAI error body. For a ConnectError it closes the connection instead.
func respond(w http.ResponseWriter, v any, err error) {
	var refused *engine.RefusedError
	var connect *engine.ConnectError
	var failed *engine.FailedError
	var imported *engine.ImportError
	var fence *engine.StaleFencingTokenError
	status, detail := failedStatus, openai.ErrorDetail{Type: "engine_error"}
	switch {
	case err == nil:
		status = http.StatusOK
	case errors.As(err, &connect):
		panic(http.ErrAbortHandler)
	case errors.As(err, &refused):
		status = refused.Status
		w.Header().Set(openai.HeaderNotRun, openai.NotRunValue)
		w.Header().Set("Retry-After", strconv.Itoa(int(refused.RetryAfter/time.Second)))
	case errors.As(err, &imported):
		detail.Code = openai.CodeImportFailed
		if imported.Gone {
			detail.Code = openai.CodeExportGone
		}
	case errors.As(err, &fence):
		status, detail.Code, detail.HighestFence = http.StatusConflict, openai.CodeStaleFence, fence.Highest
	case errors.As(err, &failed):
		status = failed.Status
	}
	if err != nil {
		detail.Message = err.Error()
		v = openai.ErrorBody{Error: detail}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// remoteExporter is a stand-in engine in another process.
type remoteExporter struct{ addr string }

func (e *remoteExporter) pinExport(ctx context.Context, id string) (int64, error) {
	res, err := e.post(ctx, pathPin+"?id="+id)
	if err != nil {
		return 0, fmt.Errorf("pin export at %s: %w", e.addr, err)
	}
	defer res.Body.Close()
	var tokens int64
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&tokens) != nil {
		return 0, errExportGone
	}
	return tokens, nil
}

func (e *remoteExporter) unpinExport(ctx context.Context, id string, imported bool) {
	res, err := e.post(ctx, fmt.Sprintf("%s?id=%s&imported=%t", pathUnpin, id, imported))
	if err == nil {
		res.Body.Close()
	}
}

func (e *remoteExporter) post(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.addr+path, bytes.NewReader(nil))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}
