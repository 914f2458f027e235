package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/boragecourse/boragecourse/internal/charge"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/operatorapi"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Timeouts of operator connections.
const (
	operatorHeaderTimeout = 10 * time.Second
	// operatorReadTimeout bounds the upload of a rules file, so that stalled uploads do not accumulate.
	operatorReadTimeout = 2 * time.Minute
	operatorIdleTimeout = 2 * time.Minute
)

// operatorServer returns the HTTP server for the operator API and the metrics. Metrics need no credential, because the
// platform reads them.
func (d *Daemon) operatorServer() *http.Server {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		d.Metrics.Set("open_requests", int64(d.Router.Open()))
		_, _ = d.Metrics.WriteTo(w)
	})
	api, err := operatorapi.Handler(&operators{d}, d.settings.OperatorCredentialSHA256, d.Log.WithName("operators"))
	if err != nil {
		// Cannot happen: settings.Daemon.Check has validated the hash of the credential.
		panic(err)
	}
	r.Mount("/", api)
	return &http.Server{
		Handler: r, ReadHeaderTimeout: operatorHeaderTimeout,
		ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
	}
}

// operators implements operatorapi.Backend.
type operators struct{ d *Daemon }

var _ operatorapi.Backend = (*operators)(nil)

// File implements operatorapi.Backend. Before the first configuration it returns an empty file with generation 0, so
// that the command-line tool can apply the first file.
func (o *operators) File(context.Context) (operatorapi.File, error) {
	generation, text := o.d.Config.RulesFile()
	return operatorapi.File{Generation: generation, Text: string(text)}, nil
}

// Apply implements operatorapi.Backend.
func (o *operators) Apply(ctx context.Context, r operatorapi.ApplyRequest) (operatorapi.ApplyResult, error) {
	report, err := o.d.Config.Apply(ctx, r.BaseGeneration, []byte(r.Text))
	if err != nil {
		return applyFailure(err)
	}
	result := operatorapi.ApplyResult{Status: operatorapi.StatusStored, Generation: report.Head.Generation}
	if report.Acknowledged {
		result.Status = operatorapi.StatusActive
	}
	for _, h := range report.Hosts {
		result.Hosts = append(result.Hosts, operatorapi.HostActivation{
			Name: h.Host.Name, Zone: h.Host.Zone, Active: h.HasGeneration, Generation: h.Installed,
		})
	}
	o.d.Log.Info("configuration accepted", "generation", result.Generation, "status", result.Status)
	return result, nil
}

// applyFailure maps errors of Apply to the codes and statuses that the command-line tool distinguishes. An unknown
// outcome is a status and not an error.
func applyFailure(err error) (operatorapi.ApplyResult, error) {
	var file *rules.FileError
	var conflict *config.ConflictError
	var notStored *config.NotStoredError
	var unknown *config.UnknownOutcomeError
	switch {
	case errors.As(err, &file):
		return operatorapi.ApplyResult{}, &operatorapi.Error{
			Code: operatorapi.CodeInvalidFile, Message: "the file has faults; nothing was applied",
			Details: strings.Split(file.Error(), "\n"), Cause: err,
		}
	case errors.As(err, &conflict):
		return operatorapi.ApplyResult{}, &operatorapi.Error{
			Code: operatorapi.CodeRace, Message: err.Error(), WinningGeneration: conflict.Accepted.Generation, Cause: err,
		}
	case errors.As(err, &unknown):
		return operatorapi.ApplyResult{Status: operatorapi.StatusUnknown, Generation: unknown.Head.Generation}, nil
	case errors.As(err, &notStored):
		return operatorapi.ApplyResult{}, &operatorapi.Error{Code: operatorapi.CodeStoreUnavailable, Message: err.Error(), Cause: err}
	}
	return operatorapi.ApplyResult{}, &operatorapi.Error{Code: operatorapi.CodeInternal, Message: err.Error(), Cause: err}
}

// Charge implements operatorapi.Backend.
func (o *operators) Charge(ctx context.Context, requestID string) (operatorapi.Charge, error) {
	r, err := o.d.Charges.Trace(ctx, requestID)
	var notFound *charge.NotFoundError
	if errors.As(err, &notFound) {
		return operatorapi.Charge{}, &operatorapi.Error{Code: operatorapi.CodeNotFound, Message: err.Error(), Cause: err}
	}
	if err != nil {
		return operatorapi.Charge{}, &operatorapi.Error{Code: operatorapi.CodeStoreUnavailable, Message: err.Error(), Cause: err}
	}
	return operatorapi.Charge{
		RequestID: r.RequestID, Workspace: r.Workspace, KeyID: r.KeyID, Generation: r.Generation,
		RuleLine: r.Rule.Line, RuleText: r.Rule.Text, Who: r.Rule.Who, Why: r.Rule.Why, Route: r.Route,
		PromptTokens: r.PromptTokens, CachedTokens: r.CachedTokens, OutputTokens: r.OutputTokens,
		CostTokens: r.CostTokens, Outcome: r.Outcome, Finished: r.Finished,
	}, nil
}

// Drain implements operatorapi.Backend.
func (o *operators) Drain(context.Context) error {
	o.d.drainer.request("operator")
	return nil
}

// Status implements operatorapi.Backend.
func (o *operators) Status(context.Context) (operatorapi.Status, error) {
	d := o.d
	members := d.Members.Status()
	epoch := members.Epoch
	s := operatorapi.Status{
		Host: d.Self.Name, Zone: d.Self.Zone, Ready: d.ready() == nil, Draining: d.drainer.started(),
		Epoch: epoch.Number, Authority: string(members.Condition), MajorityLost: members.MajorityLost, Generation: d.Config.Generation(),
		Freshness: d.Config.FreshnessAge(time.Now()), OpenRequests: d.Router.Open(),
	}
	for _, h := range epoch.Hosts {
		s.Hosts = append(s.Hosts, operatorapi.HostStatus{
			Name: h.Name, Zone: h.Zone, Addr: h.Addr, Reachable: !slices.Contains(members.Unreachable, h),
		})
	}
	if snap := d.Config.Current(); snap != nil {
		s.Servers, s.Shares = serverStatus(snap), zoneShares(snap)
	}
	return s, nil
}

func serverStatus(snap *config.Snapshot) []operatorapi.Server {
	servers := make([]operatorapi.Server, 0, len(snap.Servers()))
	for _, s := range snap.Servers() {
		state := string(s.State)
		if snap.Evacuated(s.Zone) {
			state = "evacuated"
		}
		servers = append(servers, operatorapi.Server{Name: s.Name, Zone: s.Zone, Role: string(s.Role), ModelOrPool: s.Model + s.Pool, State: state})
	}
	slices.SortFunc(servers, func(a, b operatorapi.Server) int { return strings.Compare(a.Name, b.Name) })
	return servers
}

func zoneShares(snap *config.Snapshot) []operatorapi.ZoneShare {
	var total int64
	for _, z := range snap.Zones() {
		total += z.Share
	}
	shares := make([]operatorapi.ZoneShare, 0, len(snap.Zones()))
	for _, z := range snap.Zones() {
		shares = append(shares, operatorapi.ZoneShare{Zone: z.Name, Share: float64(z.Share) / float64(total), Evacuated: snap.Evacuated(z.Name)})
	}
	slices.SortFunc(shares, func(a, b operatorapi.ZoneShare) int { return strings.Compare(a.Zone, b.Zone) })
	return shares
}
