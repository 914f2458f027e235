package operatorapi_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
)

// Guards against request bodies that get a response without an error code, and against malformed bodies that are
// applied.
func FuzzApply(f *testing.F) {
	for _, body := range []string{
		`{"base_generation":1,"text":"zone z region=r # a: b\n"}`, ``, `null`, `[]`, `{"base_generation":-1}`, `{"text":1}`,
		`{"text":"` + "\xff" + `"}`, `{} trailing`, `{"text":"a"}{"text":"b"}`,
	} {
		f.Add([]byte(body))
	}
	sum := sha256.Sum256([]byte(credential))
	f.Fuzz(func(t *testing.T, body []byte) {
		applied := 0
		h, err := operatorapi.Handler(&backend{apply: func(operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
			applied++
			return operatorapi.ApplyResult{Status: operatorapi.StatusActive}, nil
		}}, hex.EncodeToString(sum[:]), logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		r := httptest.NewRequest(http.MethodPost, "/v1/config/apply", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+credential)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var failed operatorapi.Error
		switch {
		case w.Code == http.StatusOK && applied == 1 && json.Valid(body):
		case w.Code == http.StatusBadRequest && applied == 0 && json.Unmarshal(w.Body.Bytes(), &failed) == nil && failed.Code == operatorapi.CodeMalformed:
		default:
			t.Fatalf("%q gave status %d, %d applies and %s", body, w.Code, applied, w.Body)
		}
	})
}
