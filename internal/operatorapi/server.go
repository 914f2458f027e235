package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof" //nolint:gosec // Served only with the credential.
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
)

// maxFileBytes bounds an uploaded rules file: 47,000 workspaces with a key each take about 12 MB.
const maxFileBytes = 64 << 20

// Handler returns the HTTP handler of the operator API. Every call must present the credential whose SHA-256 is given
// in hex.
func Handler(b Backend, credentialSHA256 string, log logr.Logger) (http.Handler, error) {
	want, err := hex.DecodeString(credentialSHA256)
	if err != nil || len(want) != sha256.Size {
		return nil, &Error{Code: CodeMalformed, Message: "the operator credential's hash is not a SHA-256 in hex", Cause: err}
	}
	r := chi.NewRouter()
	r.Use(recoverer(log), requireCredential(want))
	r.Get("/v1/config", respond(func(req *http.Request) (any, error) { return b.File(req.Context()) }))
	r.Post("/v1/config/apply", respond(func(req *http.Request) (any, error) {
		a, err := readApply(req)
		if err != nil {
			return nil, err
		}
		return b.Apply(req.Context(), a)
	}))
	r.Get("/v1/status", respond(func(req *http.Request) (any, error) { return b.Status(req.Context()) }))
	r.Get("/v1/charges/{id}", respond(func(req *http.Request) (any, error) {
		return b.Charge(req.Context(), chi.URLParam(req, "id"))
	}))
	r.Mount("/debug/pprof", profiles())
	r.Post("/v1/drain", respond(func(req *http.Request) (any, error) { return struct{}{}, b.Drain(req.Context()) }))
	return r, nil
}

// profiles serves the runtime profiles of the process. It does not serve the command line and the exported variables,
// since the peer secret may be on the command line.
func profiles() http.Handler {
	r := chi.NewRouter()
	r.Get("/", pprof.Index)
	r.Get("/profile", pprof.Profile)
	r.Get("/symbol", pprof.Symbol)
	r.Post("/symbol", pprof.Symbol)
	r.Get("/trace", pprof.Trace)
	for _, name := range []string{"goroutine", "threadcreate", "mutex", "heap", "block", "allocs"} {
		r.Handle("/"+name, pprof.Handler(name))
	}
	return r
}

// readApply decodes a body that must contain exactly one JSON value. Further text indicates a corrupt body.
func readApply(req *http.Request) (ApplyRequest, error) {
	var a ApplyRequest
	d := json.NewDecoder(http.MaxBytesReader(nil, req.Body, maxFileBytes))
	err := d.Decode(&a)
	if err != nil {
		return a, &Error{Code: CodeMalformed, Message: fmt.Sprintf("malformed body: %v", err), Cause: err}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return a, &Error{Code: CodeMalformed, Message: "the body holds more than one JSON value", Cause: err}
	}
	return a, nil
}

// recoverer recovers a panic of a handler, logs it and responds with CodeInternal.
func recoverer(log logr.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				v := recover()
				if v == nil {
					return
				}
				if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(v)
				}
				err := &PanicError{Value: v}
				log.Error(err, "handler of operator call panicked", "path", r.URL.Path)
				writeError(w, &Error{Code: CodeInternal, Message: "internal failure", Cause: err})
			}()
			next.ServeHTTP(w, r)
		})
	}
}

// requireCredential compares hashes in constant time, so that the response time reveals nothing about the credential.
func requireCredential(want []byte) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if subtle.ConstantTimeCompare(got[:], want) != 1 {
				writeError(w, &Error{Code: CodeCredential, Message: "the operator credential is missing or wrong"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func respond(call func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := call(r)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	}
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Code: CodeInternal, Message: err.Error(), Cause: err}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusByCode[e.Code])
	_ = json.NewEncoder(w).Encode(e)
}
