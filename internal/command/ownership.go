package command

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/boragecourse/boragecourse/internal/platform"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Prefixes of the keys in the store.
const (
	ownerPrefix = "/boragecourse/command/"
	loadPrefix  = "/boragecourse/command-load/"
)

// record is the value of an ownership record. A record under a lease names the owner; one without a lease is the
// announcement of the last owner that none of its commands is open.
type record struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

func (s *Service) record() []byte {
	self := s.Viewer.Self()
	value, _ := json.Marshal(record{Host: self.Name, Incarnation: self.Incarnation})
	return value
}

// claim takes the ownership record when it is absent, announced as free, or this host's own. The record lapses with
// the lease and only its owner changes it, so a valid lease proves the ownership. A lost answer is resolved by the
// read of the next claim; the rewrite of an own record also raises the fencing number.
func (s *Service) claim(ctx context.Context, m *machine, server string, id platform.LeaseID) {
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	key := ownerPrefix + server
	kv, found, err := s.Store.Get(call, key)
	if err != nil || found && kv.Lease != 0 && kv.Lease != id {
		s.update(id, func(now time.Time) { m.disown(now); m.claiming = m.claiming && err != nil })
		return
	}
	s.update(id, func(time.Time) { m.claiming = true })
	result, err := s.Store.Txn(call, []platform.Condition{{Key: key, ModRevision: kv.ModRevision}},
		[]platform.Write{{Key: key, Value: s.record(), Lease: id}})
	s.update(id, func(now time.Time) {
		if err != nil || !result.Succeeded {
			m.disown(now)
			return
		}
		announced := found && kv.Lease == 0
		m.claimed(now, result.Revision, announced || found && m.fenced)
	})
}

// update changes state that holds only under the lease it was made with.
func (s *Service) update(id platform.LeaseID, change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseID == id {
		change(time.Now())
	}
}

// release gives the ownership up. The machine stops commanding before the write, and repeats the release until a read
// shows no record of this host.
func (s *Service) release(ctx context.Context, m *machine, server string, id platform.LeaseID, announce bool) {
	s.freeSlot(ctx, m, server, id)
	s.update(id, func(now time.Time) { m.disown(now); m.claiming = true })
	call, cancel := context.WithTimeout(ctx, s.opt.CallTimeout)
	defer cancel()
	key := ownerPrefix + server
	kv, found, err := s.Store.Get(call, key)
	if err != nil {
		return
	}
	if found && kv.Lease == id {
		write := platform.Write{Key: key}
		if announce {
			write.Value = s.record()
		}
		result, err := s.Store.Txn(call, []platform.Condition{{Key: key, ModRevision: kv.ModRevision}}, []platform.Write{write})
		if err != nil || !result.Succeeded {
			return
		}
	}
	s.update(id, func(time.Time) { m.claiming = false })
}

// takeSlot takes one of the zone's load slots, or finds the one that the server has already.
func (s *Service) takeSlot(ctx context.Context, m *machine, rule *rules.Server, id platform.LeaseID) bool {
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
		result, err := s.Store.Txn(call, []platform.Condition{{Key: key}}, []platform.Write{{Key: key, Value: []byte(rule.Name), Lease: id}})
		if err != nil || result.Succeeded {
			return err == nil
		}
	}
	return false
}

// freeSlot gives the server's load slot back. After a failure the next read of the state repeats it, and the slot
// lapses with the lease.
func (s *Service) freeSlot(ctx context.Context, m *machine, server string, id platform.LeaseID) {
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
		_, err = s.Store.Txn(call, []platform.Condition{{Key: key, ModRevision: kv.ModRevision}}, []platform.Write{{Key: key}})
	}
	if err == nil {
		s.update(id, func(time.Time) { m.slot = "" })
	}
}
