package placement

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// minDigestAge is the age from which reservations count in digests; younger ones may still be in transit.
	minDigestAge = time.Second
	// newTablePeriod is how long after its creation a table requests the owner's full list at the first difference.
	newTablePeriod = 5 * time.Second
	// fullExchangeHosts is the number of hosts up to which each host sends renewals to all others. In a larger fleet it
	// sends them to the hosts of its zone, to the home hosts of its reservations and to a few random hosts.
	fullExchangeHosts = 16
	// sampledHosts is the number of random hosts per renewal round in a larger fleet.
	sampledHosts = 2
	// callOverhead is the estimated number of header bytes of one call and its reply.
	callOverhead = 80
)

// digest returns the number and the digest of an owner's reservations older than minDigestAge at this home host, and
// whether any table is new.
func (h *homeState) digest(now time.Time, id OwnerID) (count uint32, digest uint64, newTable bool) {
	for _, t := range h.tables {
		newTable = newTable || now.Sub(t.created) < newTablePeriod
		for _, q := range t.queues {
			for rid, g := range q.grants {
				if rid.Owner == id && now.Sub(g.at) > minDigestAge {
					count++
					digest ^= xxhash.Sum64String(rid.ID)
				}
			}
		}
	}
	return count, digest, newTable
}

// reconcileLocked makes the tables agree with an owner's full list of reservations.
func (s *Service) reconcileLocked(now time.Time, id OwnerID, open []*peerv1.OpenReservation) {
	listed := map[string]bool{}
	for _, o := range open {
		listed[o.GetReservationId()] = true
		if t := s.homeState.tables[o.GetServer()]; t != nil {
			t.Restore(now, ReservationRequest{
				ID: ReservationID{Owner: id, ID: o.GetReservationId()}, Workspace: o.GetWorkspace(), Weight: o.GetWeight(),
				Stage: stageFromProto(o.GetStage()), Tokens: o.GetTokens(), Start: now.Add(time.Duration(o.GetStartAfterNanos())),
				Duration: time.Duration(o.GetExpectedDurationNanos()),
			})
		}
	}
	for name, t := range s.homeState.tables {
		for _, q := range t.queues {
			for rid, g := range q.grants {
				if rid.Owner == id && !listed[rid.ID] && now.Sub(g.at) > minDigestAge {
					q.release(now, rid)
					s.metrics.Inc(metricReleased, metrics.L("reason", reasonNotListed))
				}
			}
		}
		s.homeState.advance(now, t)
		s.refreshViewLocked(now, name, t)
	}
}

// restoreOwnLocked adds this host's own reservations to its new table of a server.
func (s *Service) restoreOwnLocked(now time.Time, server string) {
	for _, h := range s.held {
		if h.server == server {
			s.homeState.tables[server].Restore(now, h.request)
		}
	}
}

// renewAll sends one renewal to each selected host and returns the traffic in bytes.
func (s *Service) renewAll(ctx context.Context) int {
	peers := s.renewPeers()
	var wg sync.WaitGroup
	var mu sync.Mutex
	bytes := 0
	for _, p := range peers {
		wg.Go(func() {
			n := s.renewWith(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			bytes += n
		})
	}
	wg.Wait()
	return bytes
}

// renewPeers returns the hosts that get a renewal in this round: all other hosts in a small fleet, else the selection
// that fullExchangeHosts describes.
func (s *Service) renewPeers() []host.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncLocked(time.Now(), nil)
	self, hosts := s.viewer.Self(), s.viewer.Epoch().Hosts
	need := map[string]bool{}
	for _, h := range s.held {
		if v := s.view.servers[h.server]; v != nil {
			need[v.home.Name] = true
		}
	}
	for range sampledHosts {
		if len(hosts) > fullExchangeHosts {
			need[hosts[rand.IntN(len(hosts))].Name] = true //nolint:gosec // Sampling needs no secret.
		}
	}
	var peers []host.ID
	for _, h := range hosts {
		if h.Name != self.Name && (len(hosts) <= fullExchangeHosts || h.Zone == self.Zone || need[h.Name]) {
			peers = append(peers, h)
		}
	}
	return peers
}

func (s *Service) renewWith(ctx context.Context, home host.ID) int {
	ctx, cancel := context.WithTimeout(ctx, s.opt.HomeRetry)
	defer cancel()
	client := peerv1.NewPlacementClient(s.dialer.Conn(home.Addr))
	q := s.renewal(home, false)
	resp, err := client.Renew(ctx, q)
	bytes := proto.Size(q) + callOverhead
	if err == nil && resp.GetNeedFull() {
		q = s.renewal(home, true)
		resp, err = client.Renew(ctx, q)
		bytes += proto.Size(q) + callOverhead
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.markUnreachableLocked(now, home, false)
		}
		return bytes
	}
	for _, l := range resp.GetLoads() {
		if v := s.view.servers[l.GetServer()]; v != nil && v.home.Name == home.Name {
			v.setLoad(now, fromProto(l))
			v.homeUnreachableUntil = time.Time{}
		}
	}
	return bytes + proto.Size(resp)
}

// renewal returns the renewal of this host's reservations at a home host. If full is set, it lists each reservation.
func (s *Service) renewal(home host.ID, full bool) *peerv1.RenewRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	q := &peerv1.RenewRequest{From: s.viewer.Self().Proto(), Full: full}
	for id, h := range s.held {
		v := s.view.servers[h.server]
		if v == nil || v.home.Name != home.Name {
			continue
		}
		if now.Sub(h.since) > minDigestAge {
			q.Count++
			q.Digest ^= xxhash.Sum64String(id)
		}
		if full {
			q.Open = append(q.Open, &peerv1.OpenReservation{
				Server: h.server, ReservationId: id, Workspace: h.request.Workspace, Weight: h.request.Weight,
				Stage: stageToProto(h.request.Stage), Tokens: h.request.Tokens,
				StartAfterNanos: int64(h.request.Start.Sub(now)), ExpectedDurationNanos: int64(h.request.Duration),
			})
		}
	}
	return q
}
