package quota

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// round is one draw for all requests of a workspace that wait at its start.
type round struct {
	done chan struct{}
}

// Reserve implements Limiter. It waits for at most two draws of at most three calls, each bounded by
// callTimeout.
func (s *Service) Reserve(ctx context.Context, name string, tokens int64) (Reservation, error) {
	r, err := s.reserve(ctx, name, tokens)
	if err != nil {
		s.opt.Metrics.Inc("quota_refused", metrics.L("reason", refusalReason(err)))
		return nil, err
	}
	s.opt.Metrics.Inc("quota_admitted")
	return r, nil
}

func (s *Service) reserve(ctx context.Context, name string, tokens int64) (*reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, err := s.admit(name, tokens)
	if r != nil || err != nil {
		return r, err
	}
	w := s.workspace(name)
	w.waiting += tokens
	defer func() { w.waiting -= tokens }()
	// A draw that is already under way did not count this request, so the next one is waited for as well.
	for earlier := w.round; ; {
		if w.round == nil {
			w.round = &round{done: make(chan struct{})}
			go s.draw(context.WithoutCancel(ctx), name, w)
		}
		current := w.round
		if err := s.await(ctx, current); err != nil {
			return nil, &UnavailableError{Workspace: name, Cause: err}
		}
		if r, err := s.admit(name, tokens); r != nil || err != nil {
			return r, err
		}
		if current != earlier {
			return nil, s.refusal(time.Now(), name, tokens)
		}
	}
}

// await gives up the lock until the draw ends.
func (s *Service) await(ctx context.Context, r *round) error {
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit takes the tokens from what this host holds. It returns nil without an error when that does not
// suffice. The caller holds the lock.
func (s *Service) admit(name string, tokens int64) (*reservation, error) {
	now := time.Now()
	ws, err := s.check(now, name, tokens)
	if err != nil {
		return nil, err
	}
	if tokens > ws.Burst {
		return nil, &ExceedsBurstError{Workspace: name, Tokens: tokens, Burst: ws.Burst}
	}
	r := &reservation{service: s, workspace: name}
	if tokens == 0 {
		return r, nil
	}
	w, home := s.workspace(name), s.home(now, name)
	fromGrants := min(w.borrower.Free(now), tokens)
	if rest := tokens - fromGrants; rest > 0 {
		if home == nil || !home.Reserve(now, rest) {
			return nil, nil
		}
		r.home, r.homeTokens = home, rest
	}
	r.parts = w.borrower.Take(now, fromGrants)
	w.borrower.Observe(now, tokens)
	return r, nil
}

// check returns the workspace's rule if this host may admit or grant now.
func (s *Service) check(now time.Time, name string, tokens int64) (*rules.Workspace, error) {
	s.sync(now)
	if tokens < 0 {
		return nil, &InvalidAmountError{Tokens: tokens}
	}
	if s.draining {
		return nil, &UnavailableError{Workspace: name, Cause: &DrainingError{}}
	}
	if s.snapshot == nil || s.snapshot.Workspace(name) == nil {
		return nil, &UnavailableError{Workspace: name, Cause: &UnknownWorkspaceError{Workspace: name}}
	}
	if err := s.opt.Viewer.CanAdmit(now); err != nil {
		return nil, &UnavailableError{Workspace: name, Cause: err}
	}
	return s.snapshot.Workspace(name), nil
}

// missing is what the waiting requests need beyond what this host holds.
func (s *Service) missing(now time.Time, name string) int64 {
	w := s.workspace(name)
	missing := w.waiting - w.borrower.Free(now)
	if home := s.home(now, name); home != nil {
		missing -= home.Level(now)
	}
	return max(missing, 0)
}

// refusal says how long the refill of the whole bucket takes to cover what this host could not collect.
func (s *Service) refusal(now time.Time, name string, tokens int64) error {
	held := s.workspace(name).borrower.Free(now)
	if home := s.home(now, name); home != nil {
		held += home.Level(now)
	}
	e := &RefusedError{Workspace: name, Tokens: tokens, RetryAfter: time.Second}
	if ws := s.snapshot.Workspace(name); ws != nil {
		if d := wait(tokens-held, clamp(ws.Rate)*nano); d > 0 {
			e.RetryAfter = d
		}
	}
	return e
}

// reservation implements Reservation. Its fields are guarded by the service's lock.
type reservation struct {
	service   *Service
	workspace string
	parts     []Part
	// homeTokens were taken from this host's own bucket.
	home       *Home
	homeTokens int64
}

// Use implements Reservation.
func (r *reservation) Use(tokens int64) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	if tokens <= 0 {
		return
	}
	left := tokens - Use(r.parts, tokens)
	if n := min(left, r.homeTokens); n > 0 {
		r.homeTokens -= n
		r.home.Use(n)
	}
}

// Close implements Reservation.
func (r *reservation) Close() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	Release(r.parts)
	if r.homeTokens > 0 {
		r.home.Refund(time.Now(), r.homeTokens)
		r.homeTokens = 0
	}
}
