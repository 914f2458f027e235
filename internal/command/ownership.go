package command

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Key prefixes in the store.
const (
	ownerPrefix = "/boragecourse/command/"
	loadPrefix  = "/boragecourse/command-load/"
)

// record is the value of an ownership record. A record attached to a lease names the owner. A record without a lease
// was written by the last owner at hand-over and states that none of its commands is in flight.
type record struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

func (s *Service) record() []byte {
	self := s.Viewer.Self()
	value, _ := json.Marshal(record{Host: self.Name, Incarnation: self.Incarnation})
	return value
}

// claim writes the ownership record when it is absent, has been handed over, or already belongs to this host. The
// record expires with the lease and only its owner changes it, so a valid lease proves the ownership. When the
// response of the store is lost, the read of the next claim resolves the outcome. Rewriting this host's own record
// raises the fencing token.
func (s *Service) claim(ctx context.Context, m *reconciler, server string, id kvstore.LeaseID) {
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	key := ownerPrefix + server
	kv, found, err := s.Store.Get(call, key)
	if err != nil || found && kv.Lease != 0 && kv.Lease != id {
		s.update(id, func(now time.Time) { m.disown(now); m.claiming = m.claiming && err != nil })
		return
	}
	s.update(id, func(time.Time) { m.claiming = true })
	result, err := s.Store.Txn(call, []kvstore.Condition{{Key: key, ModRevision: kv.ModRevision}},
		[]kvstore.Write{{Key: key, Value: s.record(), Lease: id}})
	s.update(id, func(now time.Time) {
		if err != nil || !result.Succeeded {
			m.disown(now)
			return
		}
		handedOver := found && kv.Lease == 0
		m.becomeOwner(now, result.Revision, handedOver || found && m.fenced)
	})
}

// update applies a change that is valid only under the lease id; it does nothing when the lease has been replaced.
func (s *Service) update(id kvstore.LeaseID, change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseID == id {
		change(time.Now())
	}
}

// release gives up the ownership, with a hand-over record when announce is set. The reconciler stops sending commands
// before the write, and repeats the release until a read shows no record of this host.
func (s *Service) release(ctx context.Context, m *reconciler, server string, id kvstore.LeaseID, announce bool) {
	s.releaseSlot(ctx, m, server, id)
	s.update(id, func(now time.Time) { m.disown(now); m.claiming = true })
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	key := ownerPrefix + server
	kv, found, err := s.Store.Get(call, key)
	if err != nil {
		return
	}
	if found && kv.Lease == id {
		write := kvstore.Write{Key: key}
		if announce {
			write.Value = s.record()
		}
		result, err := s.Store.Txn(call, []kvstore.Condition{{Key: key, ModRevision: kv.ModRevision}}, []kvstore.Write{write})
		if err != nil || !result.Succeeded {
			return
		}
	}
	s.update(id, func(time.Time) { m.claiming = false })
}

// acquireSlot acquires one of the zone's load slots for the server, or finds the one that it already has.
func (s *Service) acquireSlot(ctx context.Context, m *reconciler, rule *rules.Server, id kvstore.LeaseID) bool {
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	prefix := loadPrefix + rule.Zone + "/"
	taken, err := s.Store.List(call, prefix)
	if err != nil {
		return false
	}
	used := map[string]bool{}
	for _, kv := range taken {
		if kv.Lease == id && string(kv.Value) == rule.Name {
			s.update(id, func(time.Time) { m.slot = kv.Key })
			return true
		}
		used[kv.Key] = true
	}
	for n := range s.opt.LoadsPerZone {
		key := prefix + strconv.Itoa(n)
		if used[key] {
			continue
		}
		s.update(id, func(time.Time) { m.slot = key })
		result, err := s.Store.Txn(call, []kvstore.Condition{{Key: key}}, []kvstore.Write{{Key: key, Value: []byte(rule.Name), Lease: id}})
		if err != nil || result.Succeeded {
			return err == nil
		}
	}
	return false
}

// releaseSlot releases the server's load slot. After a failure the next read of the state repeats the release; at the
// latest the slot expires with the lease.
func (s *Service) releaseSlot(ctx context.Context, m *reconciler, server string, id kvstore.LeaseID) {
	s.mu.Lock()
	key := m.slot
	s.mu.Unlock()
	if key == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	kv, found, err := s.Store.Get(call, key)
	if err == nil && found && kv.Lease == id && string(kv.Value) == server {
		_, err = s.Store.Txn(call, []kvstore.Condition{{Key: key, ModRevision: kv.ModRevision}}, []kvstore.Write{{Key: key}})
	}
	if err == nil {
		s.update(id, func(time.Time) { m.slot = "" })
	}
}
