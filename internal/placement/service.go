package placement

import (
	"context"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Service implements Placer on one host. It is safe for concurrent use.
type Service struct {
	opt Options
	own inflight
}

// New returns a service that places on its own counts only.
func New(o Options) *Service { return &Service{opt: o.withDefaults()} }

// Place implements Placer.
func (s *Service) Place(_ context.Context, snap *config.Snapshot, r Request) (*Placement, error) {
	prefill := twoChoices(usable(snap.Engines(r.Model), StagePrefill, r.Exclude), s.load(StagePrefill))
	if prefill == nil {
		return nil, &NoServerError{Model: r.Model}
	}
	return s.withDecode(snap, r, prefill, s.own.add(prefill.Name, StagePrefill))
}

// PlaceDecode implements Placer.
func (s *Service) PlaceDecode(_ context.Context, snap *config.Snapshot, r Request, prefill *rules.Server) (*Placement, error) {
	return s.withDecode(snap, r, prefill, func() {})
}

func (s *Service) withDecode(snap *config.Snapshot, r Request, prefill *rules.Server, release func()) (*Placement, error) {
	decode := twoChoices(usable(snap.Engines(r.Model), StageDecode, r.Exclude), s.load(StageDecode))
	if decode == nil {
		release()
		return nil, &NoServerError{Model: r.Model}
	}
	return &Placement{
		Prefill: prefill, Decode: decode,
		ReleasePrefill: release, ReleaseDecode: s.own.add(decode.Name, StageDecode),
	}, nil
}

// PlaceService implements Placer.
func (s *Service) PlaceService(_ context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	server := twoChoices(usable(snap.Pool(pool), StageService, exclude), s.load(StageService))
	if server == nil {
		return nil, nil, &NoServerError{Pool: pool}
	}
	return server, s.own.add(server.Name, StageService), nil
}

// Observe implements Placer.
func (s *Service) Observe(Observation) {}

func (s *Service) load(stage Stage) func(*rules.Server) float64 {
	return func(srv *rules.Server) float64 { return float64(s.own.get(srv.Name, stage)) }
}

var _ Placer = (*Service)(nil)
