package quota

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/metrics"
)

// Reserve implements Limiter. It waits for at most two draws of at most three sequential calls, each bounded by
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
	q := s.enqueue(name, tokens)
	defer s.dequeue(name, tokens)
	// A draw that is already in progress did not count this request, so the request waits for the next one as well.
	for earlier := q.round; ; {
		if q.round == nil {
			q.round = &round{done: make(chan struct{})}
			go s.collectTokens(context.WithoutCancel(ctx), name, q)
		}
		current := q.round
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

func (s *Service) enqueue(name string, tokens int64) *queue {
	q := s.queues[name]
	if q == nil {
		q = &queue{}
		s.queues[name] = q
	}
	q.tokens += tokens
	return q
}

func (s *Service) dequeue(name string, tokens int64) {
	q := s.queues[name]
	q.tokens -= tokens
	s.dropIfUnused(name, q)
}

// dropIfUnused drops a queue in which no request waits.
func (s *Service) dropIfUnused(name string, q *queue) {
	if q.tokens == 0 && q.round == nil {
		delete(s.queues, name)
	}
}

// await waits until the draw or the context ends, and releases the lock meanwhile.
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

// admit checks the authority to admit right before it takes tokens. The caller holds the lock.
func (s *Service) admit(name string, tokens int64) (*reservation, error) {
	now := time.Now()
	if err := s.authorize(now, name); err != nil {
		return nil, err
	}
	a, err := s.node.Admit(now, name, tokens)
	if a == nil {
		return nil, err
	}
	return &reservation{service: s, admission: a}, nil
}

// refusal returns a RefusedError whose RetryAfter is the time in which the refill at the full rate of the workspace
// covers the tokens that this host could not collect.
func (s *Service) refusal(now time.Time, name string, tokens int64) error {
	e := &RefusedError{Workspace: name, Tokens: tokens, RetryAfter: time.Second}
	if ws := s.node.rule(name); ws != nil {
		if d := refillTime(tokens-s.node.Available(now, name), clamp(ws.Rate)*nano); d > 0 {
			e.RetryAfter = d
		}
	}
	return e
}

// reservation implements Reservation. The service's lock guards the admission.
type reservation struct {
	service   *Service
	admission *Admission
}

func (r *reservation) Use(tokens int64) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.admission.Use(tokens)
}

func (r *reservation) Close() {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	r.admission.Close(time.Now())
}
