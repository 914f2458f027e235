package operatorapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
)

const credential = "operator"

type backend struct {
	operatorapi.Backend
	mu    sync.Mutex
	file  operatorapi.File
	apply func(operatorapi.ApplyRequest) (operatorapi.ApplyResult, error)
}

func (b *backend) File(context.Context) (operatorapi.File, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.file, nil
}

func (b *backend) setFile(f operatorapi.File) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.file = f
}

func (b *backend) Apply(_ context.Context, r operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
	return b.apply(r)
}

func start(t *testing.T, b operatorapi.Backend) string {
	t.Helper()
	sum := sha256.Sum256([]byte(credential))
	h, err := operatorapi.Handler(b, hex.EncodeToString(sum[:]), logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// deadHost returns an address on which no process listens.
func deadHost() string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// closingHost returns the address of a host that receives a request, calls onRequest and closes the connection without
// a response.
func closingHost(t *testing.T, onRequest func()) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		onRequest()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against operator calls without the credential.
func TestCredentialIsRequired(t *testing.T) {
	g := NewWithT(t)
	addr := start(t, &backend{})
	_, err := operatorapi.NewClient([]string{addr}, "wrong").File(t.Context())
	var e *operatorapi.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Code).To(Equal(operatorapi.CodeCredential))
}

// Guards against a client that fails when only the first host is unreachable.
func TestNextHostIsTried(t *testing.T) {
	g := NewWithT(t)
	addr := start(t, &backend{file: operatorapi.File{Generation: 3}})
	f, err := operatorapi.NewClient([]string{deadHost(), addr}, credential).File(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Generation).To(BeEquivalentTo(3))
}

// Guards against losing the winning generation of a race between server and client.
func TestRaceReachesTheClient(t *testing.T) {
	g := NewWithT(t)
	addr := start(t, &backend{apply: func(operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
		return operatorapi.ApplyResult{}, &operatorapi.Error{Code: operatorapi.CodeRace, WinningGeneration: 9}
	}})
	_, err := operatorapi.NewClient([]string{addr}, credential).Apply(t.Context(), operatorapi.ApplyRequest{})
	var e *operatorapi.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.WinningGeneration).To(BeEquivalentTo(9))
}

// Guards against reporting a file as refused or accepted when the response of the host was lost, and against sending it
// a second time.
func TestLostApplyAnswerIsResolvedOrUnknown(t *testing.T) {
	for _, stored := range []bool{true, false} {
		g := NewWithT(t)
		other := &backend{file: operatorapi.File{Generation: 1, Text: "old"}}
		other.apply = func(operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
			t.Error("the file was sent a second time")
			return operatorapi.ApplyResult{}, nil
		}
		lost := closingHost(t, func() {
			if stored {
				other.setFile(operatorapi.File{Generation: 2, Text: "new"})
			}
		})
		client := operatorapi.NewClient([]string{lost, start(t, other)}, credential)
		result, err := client.Apply(t.Context(), operatorapi.ApplyRequest{BaseGeneration: 1, Text: "new"})
		g.Expect(err).NotTo(HaveOccurred())
		if stored {
			g.Expect(result).To(Equal(operatorapi.ApplyResult{Status: operatorapi.StatusStored, Generation: 2}))
		} else {
			g.Expect(result.Status).To(Equal(operatorapi.StatusUnknown))
		}
	}
}

// Guards against a panic that closes the connection without an error response.
func TestPanicIsAnswered(t *testing.T) {
	g := NewWithT(t)
	addr := start(t, &backend{apply: func(operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) { panic("fault") }})
	_, err := operatorapi.NewClient([]string{addr}, credential).Apply(t.Context(), operatorapi.ApplyRequest{})
	var e *operatorapi.Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Code).To(Equal(operatorapi.CodeInternal))
}
