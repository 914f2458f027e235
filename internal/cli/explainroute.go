package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/boragecourse/boragecourse/internal/explain"
)

// ExplainRouteCmd asks a host of `boragecoursed front` where a request would go.
type ExplainRouteCmd struct {
	Host         string        `help:"Host header of the request." required:""`
	Path         string        `help:"Path of the request." required:""`
	Workspace    string        `help:"Workspace of the request." xor:"caller"`
	Key          string        `help:"API key of the request." xor:"caller"`
	PromptTokens *int64        `help:"Declared prompt tokens."`
	OutputTokens *int64        `help:"Declared maximum of output tokens."`
	LengthHint   int64         `help:"Estimate of the output tokens."`
	Deadline     time.Duration `help:"How long the caller waits."`
	Model        string        `help:"Model of the request."`
	Front        string        `help:"Metrics address of the host that is asked, ip:port." env:"BORAGECOURSE_FRONT" required:""`
}

// explainResponseLimit bounds the response of a host, in bytes. An entry of a server is about 200 bytes.
const explainResponseLimit = 16 << 20

// Run prints the decision of the host.
func (c *ExplainRouteCmd) Run(e *Env) error {
	answer, err := c.ask(e.Context)
	if err != nil {
		return err
	}
	return e.print(answer, func(w io.Writer) { printRoute(w, answer) })
}

// ask returns an *ExitError with ExitUsage if the host rejects the input, and with ExitUnreachable if it does not respond.
func (c *ExplainRouteCmd) ask(ctx context.Context) (*explain.RouteResponse, error) {
	body, err := json.Marshal(explain.RouteRequest{
		Host: c.Host, Path: c.Path, Workspace: c.Workspace, Key: c.Key, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
		LengthHint: c.LengthHint, DeadlineMillis: c.Deadline.Milliseconds(), Model: c.Model,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Front+explain.RoutePath, bytes.NewReader(body))
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: fmt.Errorf("--front: %w", err)}
	}
	// The body may contain a key, so it goes to this host only: through no proxy, and along no redirection.
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &ExitError{Code: ExitUnreachable, Err: fmt.Errorf("ask host %s: %w", c.Front, err)}
	}
	defer func() { _ = response.Body.Close() }()
	in := json.NewDecoder(io.LimitReader(response.Body, explainResponseLimit))
	if response.StatusCode != http.StatusOK {
		failure := &explain.RouteError{}
		if err := in.Decode(failure); err != nil {
			return nil, fmt.Errorf("ask host %s: status %s", c.Front, response.Status)
		}
		if response.StatusCode == http.StatusBadRequest {
			return nil, &ExitError{Code: ExitUsage, Err: failure}
		}
		return nil, failure
	}
	answer := &explain.RouteResponse{}
	if err := in.Decode(answer); err != nil {
		return nil, fmt.Errorf("decode response of host %s: %w", c.Front, err)
	}
	return answer, nil
}

func printRoute(w io.Writer, a *explain.RouteResponse) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("host %s, configuration %d, decided at %s, newest report of another host: %s", a.Asked, a.Configuration,
		a.At.Format(time.RFC3339Nano), reportAge(a.NewestReportMillis))
	if r := a.Route; r != nil {
		p("route %s: host %s, prefix %s, service %s, kind %s, priority %d", r.Name, r.Host, r.Prefix, r.Service, r.Kind, r.Priority)
		for _, d := range r.Destinations {
			p("  random destination %s: probability %.3f", d.Service, d.Share)
		}
	}
	if s := a.Workspace; s != nil {
		p("workspace %q, rank %d, %s", s.Name, s.Rank, rateLimit(s))
	}
	if r := a.Refusal; r != nil {
		p("refused: status %d, code %s, retry after %v: %s", r.Status, r.Code, time.Duration(r.RetryAfterMillis)*time.Millisecond, r.Reason)
	}
	if a.OverloadProbability > 0 {
		p("overload: refused with probability %.3f", a.OverloadProbability)
	}
	for i := range a.Stages {
		printStage(p, &a.Stages[i])
	}
}

func printStage(p func(format string, args ...any), s *explain.RouteStage) {
	p("stage %s: %d candidates, %d left out, %d waiting", s.Stage, len(s.Candidates), len(s.LeftOut), s.Waiting)
	if s.Waits {
		p("  the request would wait")
	}
	if s.Skipped {
		p("  no engine gets the prompt in time; the decode engine processes it")
	}
	if s.Sample > 0 {
		p("  chooses among %d candidates drawn at random", s.Sample)
	}
	if s.RecheckProbability > 0 {
		p("  ignores relative times with probability %.4f", s.RecheckProbability)
	}
	for i, c := range s.Candidates {
		p("  %d. %s zone %s: score %.3f, used %.1f of %d slots, occupancy %.3f, relative time %.2f, learned limit %d, doubtful %t",
			i+1, c.Server, c.Zone, c.Score, c.Used, c.Slots, c.Occupancy, c.RelativeTime, c.LearnedLimit, c.Doubtful)
	}
	for _, l := range s.LeftOut {
		p("  left out: %s zone %s: %s", l.Server, l.Zone, l.Reason)
	}
}

func reportAge(millis *int64) string {
	if millis == nil {
		return "none"
	}
	return (time.Duration(*millis) * time.Millisecond).String() + " old"
}

func rateLimit(s *explain.RouteWorkspace) string {
	if s.TokensAvailable == nil {
		return "no rate limit"
	}
	return fmt.Sprintf("%.0f tokens available, %d needed", *s.TokensAvailable, s.TokensNeeded)
}
