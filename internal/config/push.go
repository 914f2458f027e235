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
	// pushWait is how long an apply waits for the hosts to install the change.
	pushWait = 5 * time.Second
	// pushRetry is the wait after a failed push.
	pushRetry = 200 * time.Millisecond
)

// HostStatus says how far one host is with a generation.
type HostStatus struct {
	Host host.ID
	// Installed is the host's last reported generation; zero when it never answered.
	Installed uint64
	// InForce reports whether the host has the generation or a newer one.
	InForce bool
	// Reachable reports whether the host answers this one.
	Reachable bool
}

// Report says where an accepted change is in force.
type Report struct {
	Head Head
	// InForce reports whether the change is acknowledged as in force: every reachable host has it, and so does
	// a majority of the epoch's hosts. Otherwise it is stored and not yet in force.
	InForce bool
	// Hosts are the epoch's hosts by name.
	Hosts []HostStatus
}

// Distribution pushes the installed head again and reports where it is in force. While the store is down, only
// the daemon that committed the change can acknowledge it.
func (s *Service) Distribution(ctx context.Context) *Report {
	s.mu.Lock()
	h, under, own := s.m.installed, s.committedUnder, s.committed == s.m.installed.Generation
	s.mu.Unlock()
	var c change
	verified := own || s.o.EpochKey == ""
	if !own {
		if err := s.readEpoch(ctx, &c); err == nil {
			under, verified = c.epoch, true
		}
	}
	r := s.push(ctx, h, under)
	r.InForce = r.InForce && verified
	return r
}

// pusher collects the answers to a push.
type pusher struct {
	s     *Service
	head  Head
	under uint64

	mu sync.Mutex
	// answers holds each host's installed generation by name and incarnation.
	answers map[string]uint64
	// failed holds hosts whose last push failed.
	failed  map[string]bool
	changed chan struct{}
}

// push announces a head to all hosts of the epoch and waits until it is in force or pushWait is over.
func (s *Service) push(ctx context.Context, h Head, under uint64) *Report {
	ctx, cancel := context.WithTimeout(ctx, pushWait)
	p := &pusher{s: s, head: h, under: under, answers: map[string]uint64{}, failed: map[string]bool{}, changed: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	for _, id := range s.o.Viewer.Epoch().Hosts {
		if id.Name != s.o.Viewer.Self().Name {
			wg.Go(func() { p.pushTo(ctx, id) })
		}
	}
	ticker := time.NewTicker(pushRetry)
	for report := p.report(); ; report = p.report() {
		if report.InForce || ctx.Err() != nil {
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

// pushTo repeats the push until the host has the head or the context ends.
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
			p.answers[host.FromProto(resp.From).String()] = resp.InstalledGeneration
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

// report evaluates the answers so far.
func (p *pusher) report() *Report {
	s := p.s
	s.update(func(*machine, time.Time) {})
	s.mu.Lock()
	defer s.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	holds := func(id host.ID) bool {
		if id.Name == s.m.self.Name {
			return id.Incarnation == s.m.self.Incarnation && s.m.installed.Generation >= p.head.Generation
		}
		return p.answers[id.String()] >= p.head.Generation && p.head.Generation > 0
	}
	r := &Report{Head: p.head, InForce: s.m.acknowledged(p.under, holds)}
	for _, id := range s.m.epoch.Hosts {
		st := HostStatus{Host: id, Installed: p.answers[id.String()], InForce: holds(id)}
		if id.Name == s.m.self.Name {
			st.Installed, st.Reachable = s.m.installed.Generation, true
			r.InForce = r.InForce && st.InForce
		} else {
			failed, tried := p.failed[id.Name]
			st.Reachable = tried && !failed || s.o.Viewer.Reachable(id)
			// Until the first push ends, it is not known whether the host is out of reach.
			r.InForce = r.InForce && (st.InForce || tried && !st.Reachable)
		}
		r.Hosts = append(r.Hosts, st)
	}
	return r
}
