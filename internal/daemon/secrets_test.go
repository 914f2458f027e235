package daemon_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/boragecourse/boragecourse/internal/logging"
	"github.com/boragecourse/boragecourse/internal/peer"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// logBuffer collects the log of a daemon. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against secrets in the log or in responses: the caller's key wherever the caller puts it, the operator
// credential, and the peer secret, which may be on the daemon's command line.
func TestSecretsAreNotShown(t *testing.T) {
	g := NewWithT(t)
	args := os.Args
	os.Args = append(append([]string{}, args...), "--peer-secret="+peerSecret)
	defer func() { os.Args = args }()
	log := &logBuffer{}
	h := startLogged(t, logging.New(log, 9))
	callers, operators := h.settings.ListenCallers, h.settings.ListenOperators
	const model = `{"model":"keeper-llm","prompt":"x","max_tokens":1}`
	for name, c := range map[string]struct {
		addr, method, path, body string
		auth                     []string
		status                   int
	}{
		"key in an unknown path":   {callers, "GET", "/x/" + callerKey, "", []string{callerKey}, 404},
		"key in the query":         {callers, "POST", "/v1/completions?key=" + callerKey, model, []string{callerKey}, 400},
		"key in the body":          {callers, "POST", "/v1/completions", strings.Replace(model, `"x"`, `"`+callerKey+`"`, 1), []string{callerKey}, 400},
		"key as the model":         {callers, "POST", "/v1/completions", strings.Replace(model, "keeper-llm", callerKey, 1), []string{callerKey}, 404},
		"malformed body":           {callers, "POST", "/v1/completions", `{"` + callerKey, []string{callerKey}, 400},
		"two keys":                 {callers, "POST", "/x/" + callerKey, "", []string{callerKey, callerKey}, 400},
		"credential as a key":      {callers, "POST", "/v1/completions", model, []string{credential}, 401},
		"wrong credential":         {operators, "GET", "/v1/status", "", []string{peerSecret}, 401},
		"malformed apply":          {operators, "POST", "/v1/config/apply", `{"text":` + credential, []string{credential}, 400},
		"faulty file":              {operators, "POST", "/v1/config/apply", `{"text":"zone"}`, []string{credential}, 422},
		"request id not there":     {operators, "GET", "/v1/charges/x", "", []string{credential}, 503},
		"command line":             {operators, "GET", "/debug/pprof/cmdline", "", []string{credential}, 404},
		"exported variables":       {operators, "GET", "/debug/vars", "", []string{credential}, 404},
		"profile without a secret": {operators, "GET", "/debug/pprof/goroutine?debug=2", "", []string{credential}, 200},
	} {
		req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+c.addr+c.path, strings.NewReader(c.body))
		g.Expect(err).NotTo(HaveOccurred())
		for _, a := range c.auth {
			req.Header.Add("Authorization", "Bearer "+a)
		}
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		g.Expect(err).NotTo(HaveOccurred())
		expectNoSecret(g, name, fmt.Sprintf("%v %s", resp.Header, text))
		g.Expect(resp.StatusCode).To(Equal(c.status), "%s: %s", name, text)
	}
	pool := peer.NewPool("wrong-secret-of-a-peer", nil)
	_, err := peerv1.NewConfigClient(pool.Conn(h.settings.ListenPeers)).GetHead(t.Context(), &peerv1.GetHeadRequest{})
	pool.Close()
	g.Expect(status.Code(err)).To(Equal(codes.Unauthenticated))
	expectNoSecret(g, "peer", err.Error())
	h.signals <- syscall.SIGTERM
	g.Expect(<-h.ended).To(Succeed())
	g.Expect(log.String()).To(ContainSubstring("unknown_route"))
	expectNoSecret(g, "log", log.String())
}

func expectNoSecret(g *WithT, where, text string) {
	for _, secret := range []string{callerKey, credential, peerSecret, "wrong-secret-of-a-peer"} {
		g.Expect(strings.Contains(text, secret)).To(BeFalse(), "%s contains %q: %s", where, secret, text)
	}
}
