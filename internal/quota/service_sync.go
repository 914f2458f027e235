package quota

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// sync takes in the newest epoch and configuration. Every use of a bucket and every acknowledgement comes after
// it under the same lock, so an acknowledged epoch or division is the one in use. The caller holds the lock.
func (s *Service) sync(now time.Time) {
	epoch, snapshot := s.opt.Viewer.Epoch(), s.opt.Config.Current()
	if snapshot == nil {
		return
	}
	newEpoch := epoch.Number > s.divisions.epoch.Number
	if newEpoch && !s.tenure.Learn(epoch) {
		s.opt.Log.Info("quota tenure interrupted, buckets start empty", "epoch", epoch.Number)
		s.dropHomes()
		s.divisions.Reset()
	}
	if newEpoch || snapshot != s.snapshot || s.divisions.DueAt(now) {
		s.changeShares(now, snapshot, newEpoch)
	}
	if s.tenure.Advance(now, s.opt.Spread.EpochKnownByMajority) {
		s.opt.Log.V(1).Info("quota epoch ready", "epoch", epoch.Number)
	}
}

// changeShares installs a new division or configuration. Buckets that are not in memory would later be
// recreated under the new share as if it had always held, so those whose share changes are created first.
func (s *Service) changeShares(now time.Time, snapshot *config.Snapshot, newEpoch bool) {
	old, version := s.snapshot, s.divisions.version
	epoch := s.divisions.epoch
	if newEpoch {
		epoch = s.opt.Viewer.Epoch()
	}
	division := NewDivision(snapshot, epoch)
	if hash, _ := s.divisions.Current(); hash != division.Hash() || s.divisions.DueAt(now) {
		s.materialize(now, func(string) bool { return true })
	}
	s.divisions.Learn(now, division, epoch, s.opt.Viewer.Self().Name)
	if old != nil && old != snapshot {
		s.materialize(now, func(name string) bool {
			next := snapshot.Workspace(name)
			return next == nil || next.Rate != old.Workspace(name).Rate || next.Burst != old.Workspace(name).Burst
		})
	}
	s.snapshot = snapshot
	if old != nil && old != snapshot {
		s.createNew(now, old)
	}
	if old != snapshot || version != s.divisions.version {
		s.applyShares(now)
	}
	s.wake()
}

func (s *Service) applyShares(now time.Time) {
	ready, _ := s.divisions.Ready()
	for name, w := range s.workspaces {
		if w.home == nil {
			continue
		}
		w.home.SetShare(now, s.share(name))
		if ready {
			w.home.Resume(now)
		}
	}
}

// materialize creates the buckets of this host that are not in memory and that the filter selects.
func (s *Service) materialize(now time.Time, selected func(name string) bool) {
	if s.snapshot == nil {
		return
	}
	for name := range s.snapshot.Workspaces() {
		if selected(name) && s.home(now, name) == nil {
			s.retired(name)
		}
	}
}

// retired returns the bucket that moves to another host in the current epoch and was not handed over yet.
func (s *Service) retired(name string) *Home {
	standing, since := s.tenure.Before(name)
	if s.workspaces[name] != nil && s.workspaces[name].home != nil {
		return s.workspaces[name].home
	}
	ready, inForce := s.divisions.Ready()
	if standing != StandingHome || s.tenure.isHanded(name) || !ready {
		return nil
	}
	w := s.workspace(name)
	w.home = NewHome(later(since, inForce), s.share(name))
	return w.home
}

// createNew starts the buckets of added workspaces empty. One that was removed before may have been used.
func (s *Service) createNew(now time.Time, old *config.Snapshot) {
	for name := range s.snapshot.Workspaces() {
		if old.Workspace(name) != nil {
			continue
		}
		standing, _ := s.tenure.Of(name)
		if ready, _ := s.divisions.Ready(); ready && standing == StandingHome && s.workspace(name).home == nil {
			s.workspace(name).home = NewHome(now, s.share(name))
		}
	}
}

func (s *Service) dropHomes() {
	for _, w := range s.workspaces {
		if w.home != nil {
			w.home.Stop()
			w.home = nil
		}
	}
}

// askHandOvers asks hosts for buckets that moved here and for missing acknowledgements. The caller holds the
// lock.
func (s *Service) askHandOvers(ctx context.Context) {
	hosts := s.tenure.Waiting()
	missing := map[string]bool{}
	for _, name := range s.divisions.Waiting() {
		missing[name] = true
	}
	for _, h := range s.divisions.epoch.Hosts {
		if missing[h.Name] && h.Zone != s.tenure.self.Zone {
			hosts = append(hosts, h)
		} else if missing[h.Name] && s.tenure.isAcked(h.Name) {
			hosts = append(hosts, h)
		}
	}
	for _, h := range hosts {
		if !s.asking[h.Name] {
			s.asking[h.Name] = true
			s.background.Go(func() { s.askHandOver(ctx, h) })
		}
	}
}

func (s *Service) askHandOver(ctx context.Context, to host.ID) {
	s.mu.Lock()
	epoch := s.divisions.epoch.Number
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerv1.NewQuotaClient(s.opt.Dialer.Conn(to.Addr))
	answer, err := client.HandOver(callCtx, &peerv1.HandOverRequest{From: s.tenure.self.Proto(), Epoch: epoch})
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asking, to.Name)
	if err != nil {
		s.opt.Metrics.Inc("quota_hand_over_retries", metrics.L("reason", reasonOf(err)))
		return
	}
	s.takeHandOver(time.Now(), to, epoch, answer)
}

// takeHandOver uses an answer only in the epoch of its request: buckets of another epoch may have moved on.
func (s *Service) takeHandOver(now time.Time, from host.ID, asked uint64, answer *peerv1.HandOverResponse) {
	s.sync(now)
	if answer.GetEpoch() != asked || asked != s.divisions.epoch.Number {
		return
	}
	if from.Zone == s.tenure.self.Zone && !s.tenure.isAcked(from.Name) {
		for _, b := range answer.GetBuckets() {
			s.install(now, b)
		}
		s.tenure.Acked(from.Name, answer.GetEpoch())
	}
	before := s.divisions.version
	s.divisions.Acked(now, from.Name, answer.GetEpoch(), answer.GetDivisionHash(), answer.GetDivisionEstablished())
	if s.divisions.version != before {
		s.applyShares(now)
	}
	s.sync(now)
}

func (s *Service) install(now time.Time, b *peerv1.HandedOverBucket) {
	if standing, _ := s.tenure.Of(b.GetWorkspace()); standing != StandingWaiting {
		return
	}
	w := s.workspace(b.GetWorkspace())
	if w.home != nil {
		// Two hosts claim the bucket; only an empty one is safe.
		w.home.Stop()
		w.home = NewHome(now, s.share(b.GetWorkspace()))
		return
	}
	handed := Handed{
		Level: b.GetLevel(), Outstanding: b.GetOutstanding(), Remaining: time.Duration(b.GetRemainingTermNanos()),
	}
	w.home = NewHomeFrom(now, s.share(b.GetWorkspace()), handed)
	if ready, _ := s.divisions.Ready(); !ready {
		w.home.Pause(now)
	}
	s.opt.Metrics.Inc("quota_hand_overs")
}

// HandOver implements the Quota grpc service.
func (s *Service) HandOver(_ context.Context, r *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sync(now)
	answer := &peerv1.HandOverResponse{Epoch: s.divisions.epoch.Number}
	answer.DivisionHash, answer.DivisionEstablished = s.divisions.Current()
	from := host.FromProto(r.GetFrom())
	if r.GetEpoch() != answer.Epoch || from.Zone != s.tenure.self.Zone || s.snapshot == nil || s.tenure.isHandedTo(from.Name) {
		return answer, nil
	}
	defer s.tenure.Hand(from.Name)
	for name := range s.snapshot.Workspaces() {
		if to, ok := s.tenure.Successor(name); ok && to == from {
			s.handBucket(now, name, answer)
		}
	}
	return answer, nil
}

func (s *Service) handBucket(now time.Time, name string, answer *peerv1.HandOverResponse) {
	home := s.retired(name)
	if home == nil {
		return
	}
	s.workspace(name).home = nil
	handed := home.HandOver(now)
	answer.Buckets = append(answer.Buckets, &peerv1.HandedOverBucket{
		Workspace: name, Level: handed.Level, Outstanding: handed.Outstanding,
		RemainingTermNanos: int64(handed.Remaining),
	})
}
