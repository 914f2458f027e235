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
	// settled is the age from which reservations count in digests; younger ones may still be in flight.
	settled = time.Second
	// freshBook is how long a new book asks owners for their lists at the first difference.
	freshBook = 5 * time.Second
	// smallFleet is the number of hosts up to which each host exchanges with all others. In larger fleets it does
	// so with its zone, with the home hosts of its reservations, and with a few others.
	smallFleet = 16
	// otherHosts is how many other hosts a host of a larger fleet exchanges with in each round.
	otherHosts = 2
	// callOverhead is the estimated number of bytes of headers of one call and its answer.
	callOverhead = 80
)

// digest returns the number and the digest of an owner's settled reservations at this home host, and whether any
// book is new.
func (h *homes) digest(now time.Time, id OwnerID) (count uint32, digest uint64, fresh bool) {
	for _, b := range h.books {
		fresh = fresh || now.Sub(b.created) < freshBook
		for _, l := range b.lanes {
			for rid, g := range l.grants {
				if rid.Owner == id && now.Sub(g.at) > settled {
					count++
					digest ^= xxhash.Sum64String(rid.ID)
				}
			}
		}
	}
	return count, digest, fresh
}

// reconcileLocked makes the books agree with an owner's whole list.
func (s *Service) reconcileLocked(now time.Time, id OwnerID, open []*peerv1.OpenReservation) {
	listed := map[string]bool{}
	for _, o := range open {
		listed[o.GetReservationId()] = true
		if b := s.homes.books[o.GetServer()]; b != nil {
			b.Restore(now, Ask{
				ID: ReservationID{Owner: id, ID: o.GetReservationId()}, Workspace: o.GetWorkspace(), Weight: o.GetWeight(),
				Stage: stageFrom(o.GetStage()), Tokens: o.GetTokens(), Start: now.Add(time.Duration(o.GetStartAfterNanos())),
				Duration: time.Duration(o.GetExpectedDurationNanos()),
			})
		}
	}
	for name, b := range s.homes.books {
		for _, l := range b.lanes {
			for rid, g := range l.grants {
				if rid.Owner == id && !listed[rid.ID] && now.Sub(g.at) > settled {
					l.release(now, rid)
					s.metrics.Inc(metricReleased, metrics.L("reason", reasonListed))
				}
			}
		}
		s.homes.advance(now, b)
		s.refreshLocked(now, name, b)
	}
}

// restoreOwnLocked enters this host's reservations into its new book of a server.
func (s *Service) restoreOwnLocked(now time.Time, server string) {
	for _, h := range s.held {
		if h.server == server {
			s.homes.books[server].Restore(now, h.ask)
		}
	}
}

// renewAll exchanges with the other hosts once and returns the bytes that it took.
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

// renewPeers lists the hosts to exchange with.
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
	for range otherHosts {
		if len(hosts) > smallFleet {
			need[hosts[rand.IntN(len(hosts))].Name] = true //nolint:gosec // Sampling needs no secret.
		}
	}
	var peers []host.ID
	for _, h := range hosts {
		if h.Name != self.Name && (len(hosts) <= smallFleet || h.Zone == self.Zone || need[h.Name]) {
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
			s.silentLocked(now, home, false)
		}
		return bytes
	}
	for _, l := range resp.GetLoads() {
		if v := s.view.servers[l.GetServer()]; v != nil && v.home.Name == home.Name {
			v.setLoad(now, fromProto(l))
			v.blindUntil = time.Time{}
		}
	}
	return bytes + proto.Size(resp)
}

// renewal describes this host's reservations at a home host.
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
		if now.Sub(h.since) > settled {
			q.Count++
			q.Digest ^= xxhash.Sum64String(id)
		}
		if full {
			q.Open = append(q.Open, &peerv1.OpenReservation{
				Server: h.server, ReservationId: id, Workspace: h.ask.Workspace, Weight: h.ask.Weight,
				Stage: protoStage(h.ask.Stage), Tokens: h.ask.Tokens,
				StartAfterNanos: int64(h.ask.Start.Sub(now)), ExpectedDurationNanos: int64(h.ask.Duration),
			})
		}
	}
	return q
}
