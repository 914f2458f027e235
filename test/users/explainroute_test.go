package users_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/cli"
	"github.com/boragecourse/boragecourse/internal/explain"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

func (f *fleet) explainRoute(h *host, args ...string) (code int, answer explain.RouteResponse, errOut string) {
	var out, errors bytes.Buffer
	args = append([]string{"explain", "route", "--output=json", "--host=" + hostName, "--front=" + net.JoinHostPort(h.ip, "9464")}, args...)
	code = cli.Run(f.t.Context(), args, strings.NewReader(""), &out, &errors)
	if code == cli.ExitOK {
		f.g.Expect(json.Unmarshal(out.Bytes(), &answer)).To(Succeed())
	}
	return code, answer, errors.String()
}

// Guards against an explanation that differs from the decision on an idle fleet, and against one that reaches a server.
func TestExplainedServerGetsTheRequest(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	workers := map[string]*users.Worker{}
	var calls atomic.Int64
	for _, o := range []users.WorkerOptions{
		{ID: "app-1", Service: "app"}, {ID: "app-2", Service: "app"}, {ID: "app-3", Service: "app", Zone: "piran-b"},
		{ID: "decode-1", Service: "llm", Stage: "decode", Events: 2}, {ID: "decode-2", Service: "llm", Stage: "decode", Events: 2},
		{ID: "prefill-1", Service: "llm", Stage: "prefill"},
	} {
		workers[o.ID] = f.worker(o)
		workers[o.ID].Before(func(*http.Request) { calls.Add(1) })
	}
	f.awaitReady(h)
	for _, c := range []struct {
		path   string
		stages []int
		args   []string
		send   func() response
	}{
		{"/view/1", []int{3}, []string{"--key=" + key}, func() response { return f.do(h, http.MethodGet, "/view/1") }},
		{"/ask/1", []int{2, 1}, []string{"--workspace=" + workspace, "--prompt-tokens=100", "--output-tokens=100", "--length-hint=50"},
			func() response { return f.stream(h, "ask") }},
	} {
		args := append([]string{"--path=" + c.path, "--deadline=3s"}, c.args...)
		var answer explain.RouteResponse
		before := calls.Load()
		f.g.Eventually(func() (candidates []int) {
			_, answer, _ = f.explainRoute(h, args...)
			for _, s := range answer.Stages {
				candidates = append(candidates, len(s.Candidates))
			}
			return candidates
		}).WithTimeout(waitTimeout).Should(Equal(c.stages))
		f.g.Expect(answer.Refusal).To(BeNil())
		f.g.Expect(calls.Load()).To(Equal(before))
		first, _, _ := strings.Cut(answer.Stages[0].Candidates[0].Server, "/")
		sent := c.send()
		f.g.Expect(sent.status).To(Equal(http.StatusOK))
		f.g.Expect(workers[first].Runs()).To(HaveKeyWithValue(sent.id, 1))
	}
}

// Guards against refusals and exit codes that differ from those of requests and of the tool's other commands.
func TestExplainRouteRefusals(t *testing.T) {
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.awaitReady(h)
	_, unknownKey, _ := f.explainRoute(h, "--path=/view/1", "--key=other")
	f.g.Expect([]any{unknownKey.Refusal.Status, unknownKey.Refusal.Code}).To(Equal([]any{
		http.StatusUnauthorized, f.codeOf(f.do(h, http.MethodGet, "/view/1", header("Authorization", "Bearer other"))),
	}))
	_, noServer, _ := f.explainRoute(h, "--path=/view/1", "--key="+key)
	f.g.Expect([]any{noServer.Refusal.Status, noServer.Refusal.Code}).To(Equal([]any{
		http.StatusServiceUnavailable, f.codeOf(f.do(h, http.MethodGet, "/view/1")),
	}))
	_, costly, _ := f.explainRoute(h, "--path=/ask/1", "--key="+key, "--prompt-tokens=100000000")
	f.g.Expect(costly.Refusal.Status).To(Equal(http.StatusTooManyRequests))
	for _, args := range [][]string{
		{"--path=x", "--key=" + key}, {"--path=/view/1"}, {"--path=/view/1", "--workspace=none"},
		{"--path=/ask/1", "--key=" + key, "--length-hint=-1"},
	} {
		code, _, errOut := f.explainRoute(h, args...)
		f.g.Expect(code).To(Equal(cli.ExitUsage))
		f.g.Expect(errOut).To(Or(ContainSubstring("path"), ContainSubstring("workspace"), ContainSubstring("lengthHint")))
	}
	f.procs.StopAll()
	code, _, _ := f.explainRoute(h, "--path=/view/1", "--key="+key)
	f.g.Expect(code).To(Equal(cli.ExitUnreachable))
}

func (f *fleet) codeOf(a response) string {
	var refusal struct{ Code string }
	f.g.Expect(json.Unmarshal([]byte(a.body), &refusal)).To(Succeed())
	return refusal.Code
}
