package cli

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/boragecourse/boragecourse/internal/operatorapi"
)

// statusTimeout bounds the wait for one host, so that unreachable hosts do not delay the output for the others.
const statusTimeout = 3 * time.Second

// StatusCmd shows the status of the fleet as reported by each host.
type StatusCmd struct{}

// hostStatus is the status of one host, or the error of the call for it.
type hostStatus struct {
	Address string              `json:"address"`
	Error   string              `json:"error,omitempty"`
	Status  *operatorapi.Status `json:"status,omitempty"`
}

// Run calls all hosts at the same time. It fails only if no host responds.
func (c *StatusCmd) Run(e *Env) error {
	e.Client.HTTP.Timeout = statusTimeout
	statuses := make([]hostStatus, len(e.Client.Hosts))
	var wg sync.WaitGroup
	for i, h := range e.Client.Hosts {
		wg.Go(func() {
			statuses[i].Address = h
			s, err := e.Client.StatusOf(e.Context, h)
			if err != nil {
				statuses[i].Error = err.Error()
				return
			}
			statuses[i].Status = &s
		})
	}
	wg.Wait()
	if err := e.print(statuses, func(w io.Writer) { printStatus(w, statuses) }); err != nil {
		return err
	}
	for _, a := range statuses {
		if a.Status != nil {
			return nil
		}
	}
	return &operatorapi.UnreachableError{}
}

func printStatus(w io.Writer, statuses []hostStatus) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "HOST\tZONE\tSTATE\tAUTHORITY\tGENERATION\tCONFIRMED\tEPOCH\tOPEN\tUNREACHABLE FROM IT")
	var newest *operatorapi.Status
	for _, a := range statuses {
		if a.Status == nil {
			_, _ = fmt.Fprintf(t, "%s\t-\tno answer\t-\t-\t-\t-\t-\t%s\n", a.Address, a.Error)
			continue
		}
		s := a.Status
		if newest == nil || s.Generation > newest.Generation {
			newest = s
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n", s.Host, s.Zone, hostState(s), s.Authority,
			s.Generation, formatConfirmed(s.Freshness), s.Epoch, s.OpenRequests, unreachableHosts(s))
	}
	_ = t.Flush()
	if newest == nil {
		return
	}
	if newest.MajorityLost {
		_, _ = fmt.Fprintln(w, "\nat least half of the epoch's hosts are silent: the epoch stays as it is and their shares are unused")
	}
	_, _ = fmt.Fprintln(w)
	t = tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ZONE\tSHARE OF EACH BUCKET\tSTATE")
	for _, z := range newest.Shares {
		state := "in use"
		if z.Evacuated {
			state = "evacuated"
		}
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%s\n", z.Zone, z.Share, state)
	}
	_, _ = fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tROLE\tFOR\tSTATE")
	for _, b := range newest.Servers {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", b.Name, b.Zone, b.Role, b.ModelOrPool, b.State)
	}
	_ = t.Flush()
}

func hostState(s *operatorapi.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

// formatConfirmed formats the time since the configuration was last confirmed; a negative age means never.
func formatConfirmed(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(10*time.Millisecond).String() + " ago"
}

// unreachableHosts lists the hosts that the reporting host cannot reach, separated by commas.
func unreachableHosts(s *operatorapi.Status) string {
	var names string
	for _, h := range s.Hosts {
		if !h.Reachable && h.Name != s.Host {
			if names != "" {
				names += ","
			}
			names += h.Name
		}
	}
	if names == "" {
		return "-"
	}
	return names
}

// DrainCmd starts the drain of one host and does not wait for its end.
type DrainCmd struct {
	Host string `arg:"" help:"Operator address of the host, ip:port."`
}

// Run calls the host given as argument, not the hosts of the --hosts flag.
func (c *DrainCmd) Run(e *Env) error {
	if err := e.Client.DrainHost(e.Context, c.Host); err != nil {
		return err
	}
	return e.print(map[string]string{"draining": c.Host}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s is draining\n", c.Host)
	})
}

// ChargesCmd groups the commands that read charge records.
type ChargesCmd struct {
	Trace TraceCmd `cmd:"" help:"Show the rule and the person behind a request's charge. Example: boragecourse charges trace REQUEST-ID"`
}

// TraceCmd shows the charge of a request and the rule that caused it.
type TraceCmd struct {
	RequestID string `arg:"" help:"Request id, from the X-Request-Id header of the answer."`
}

// Run returns an *operatorapi.Error with CodeNotFound if the request has no charge.
func (c *TraceCmd) Run(e *Env) error {
	ch, err := e.Client.Charge(e.Context, c.RequestID)
	if err != nil {
		return err
	}
	return e.print(ch, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintf(t, "request\t%s\noutcome\t%s\nworkspace\t%s (key %s)\nroute\t%s\n", ch.RequestID, ch.Outcome, ch.Workspace, ch.KeyID, ch.Route)
		_, _ = fmt.Fprintf(t, "tokens\t%d prompt (%d cached), %d output, %d per call\n", ch.PromptTokens, ch.CachedTokens, ch.OutputTokens, ch.CostTokens)
		_, _ = fmt.Fprintf(t, "rule\tgeneration %d, line %d: %s\nasked by\t%s: %s\n", ch.Generation, ch.RuleLine, ch.RuleText, ch.Who, ch.Why)
		_ = t.Flush()
	})
}
