package config

import (
	"context"
	"sync"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/wait"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// pushTimeout bounds how long an apply waits for the hosts to install the change.
	pushTimeout = 5 * time.Second
	// pushRetry is the wait before a push to a host that has not installed the change is repeated, and the interval
	// at which the report is evaluated again.
	pushRetry = 200 * time.Millisecond
)

// HostStatus is the state of one host with respect to a pushed generation.
type HostStatus struct {
	Host host.ID
	// Installed is the generation that the host last reported as installed; zero if it has not replied.
	Installed uint64
	// HasGeneration reports whether the host has installed the generation or a newer one.
	HasGeneration bool
	// Reachable reports whether the host replied to the last push or membership considers it reachable.
	Reachable bool
}

// Report says which hosts have installed an accepted change.
type Report struct {
	Head Head
	// Acknowledged reports whether the change is acknowledged as the active configuration: every reachable host and a
	// majority of the epoch's hosts have installed it. Otherwise it is stored but not yet acknowledged.
	Acknowledged bool
	// Hosts has the hosts of the epoch, in its order.
	Hosts []HostStatus
}

// PushInstalled pushes the installed head again and reports which hosts have installed it. While the store is
// unavailable, only the daemon that committed the change can acknowledge it, because any other must read the stored
// epoch.
func (s *Service) PushInstalled(ctx context.Context) *Report {
	s.mu.Lock()
	h, underEpoch, ownCommit := s.m.installed, s.committedEpoch, s.committed == s.m.installed.Generation
	s.mu.Unlock()
	var c change
	verified := ownCommit || s.o.EpochKey == ""
	if !ownCommit {
		if err := s.readEpoch(ctx, &c); err == nil {
			underEpoch, verified = c.epoch, true
		}
	}
	r := s.push(ctx, h, underEpoch)
	r.Acknowledged = r.Acknowledged && verified
	return r
}

// pusher collects the replies to a push of one head.
type pusher struct {
	s          *Service
	head       Head
	underEpoch uint64

	mu sync.Mutex
	// replies holds each host's installed generation by name and incarnation.
	replies map[string]uint64
	// failed reports by host name whether the last push failed. A host without an entry has not been tried yet.
	failed  map[string]bool
	changed chan struct{}
}

// push sends a head to all hosts of the epoch and waits until the change is acknowledged or pushTimeout has elapsed.
// underEpoch is the number of the epoch under which the change was committed.
func (s *Service) push(ctx context.Context, h Head, underEpoch uint64) *Report {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	p := &pusher{s: s, head: h, underEpoch: underEpoch, replies: map[string]uint64{}, failed: map[string]bool{}, changed: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	for _, id := range s.o.Viewer.Epoch().Hosts {
		if id.Name != s.o.Viewer.Self().Name {
			wg.Go(func() { p.pushTo(ctx, id) })
		}
	}
	ticker := time.NewTicker(pushRetry)
	for report := p.report(); ; report = p.report() {
		if report.Acknowledged || ctx.Err() != nil {
			ticker.Stop()
			cancel()
			wg.Wait()
			return report
		}
		select {
		case <-p.changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// pushTo repeats the push until the host has installed the head or the context ends.
func (p *pusher) pushTo(ctx context.Context, id host.ID) {
	client := peerv1.NewConfigClient(p.s.o.Dialer.Conn(id.Addr))
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		req := &peerv1.PushHeadRequest{Head: p.head.proto(), WaitNanos: int64(callTimeout / 2)}
		resp, err := client.PushHead(callCtx, req)
		cancel()
		p.mu.Lock()
		p.failed[id.Name] = err != nil
		if err == nil {
			p.replies[host.FromProto(resp.From).String()] = resp.InstalledGeneration
		}
		p.mu.Unlock()
		select {
		case p.changed <- struct{}{}:
		default:
		}
		if err == nil && resp.InstalledGeneration >= p.head.Generation {
			return
		}
		if wait.For(ctx, pushRetry) != nil {
			return
		}
	}
}

// report evaluates the replies received so far.
func (p *pusher) report() *Report {
	s := p.s
	s.update(func(*stateMachine, time.Time) {})
	s.mu.Lock()
	defer s.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	holds := func(id host.ID) bool {
		if id.Name == s.m.self.Name {
			return id.Incarnation == s.m.self.Incarnation && s.m.installed.Generation >= p.head.Generation
		}
		return p.replies[id.String()] >= p.head.Generation && p.head.Generation > 0
	}
	r := &Report{Head: p.head, Acknowledged: s.m.acknowledged(p.underEpoch, holds)}
	for _, id := range s.m.epoch.Hosts {
		st := HostStatus{Host: id, Installed: p.replies[id.String()], HasGeneration: holds(id)}
		if id.Name == s.m.self.Name {
			st.Installed, st.Reachable = s.m.installed.Generation, true
			r.Acknowledged = r.Acknowledged && st.HasGeneration
		} else {
			failed, tried := p.failed[id.Name]
			st.Reachable = tried && !failed || s.o.Viewer.Reachable(id)
			// Whether the host is unreachable is unknown until the first push to it has ended.
			r.Acknowledged = r.Acknowledged && (st.HasGeneration || tried && !st.Reachable)
		}
		r.Hosts = append(r.Hosts, st)
	}
	return r
}
