package membership

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// storeTimeoutTTLs is the timeout of a store call as a multiple of the lease TTL: a renewal that takes longer than one
// TTL cannot extend the lease.
const storeTimeoutTTLs = 1

// execute carries out one action and passes its result to the machine.
func (s *Service) execute(ctx context.Context, action Action) {
	timeout := s.opts.Timing.LeaseTTL * storeTimeoutTTLs
	switch action.(type) {
	case SendHeartbeat, RequestReport:
		// A later reply is outside of the contact window.
		timeout = s.opts.Timing.ContactWindow
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch a := action.(type) {
	case SendHeartbeat:
		s.sendHeartbeat(ctx, a)
	case RequestReport:
		s.requestReport(ctx, a)
	case AcquireLease:
		s.acquireLease(ctx, a)
	case RenewLease:
		s.renewLease(ctx, a)
	case ReadEpoch:
		s.readEpoch(ctx, a)
	case ReadRegistry:
		s.readRegistry(ctx)
	case ProposeEpoch:
		s.proposeEpoch(ctx, a)
	}
}

func (s *Service) storeFailed(call StoreCall, err error) {
	s.opts.Metrics.Inc("membership_store_failures", metrics.L("call", callNames[call]))
	s.opts.Log.V(1).Info("store call failed", "call", callNames[call], "cause", err.Error())
	s.handle(StoreFailed{Call: call})
}

var callNames = [storeCallKinds]string{"lease", "read_epoch", "read_registry", "propose"}

func (s *Service) sendHeartbeat(ctx context.Context, a SendHeartbeat) {
	req := &peerv1.HeartbeatRequest{
		From: keyProto(a.Heartbeat.From), Epoch: a.Heartbeat.Epoch, Session: a.Heartbeat.Session,
	}
	if s.opts.Generation != nil {
		req.Generation = s.opts.Generation()
	}
	client := peerv1.NewMembershipClient(s.opts.Dialer.Conn(a.To.Addr))
	sent := time.Now()
	s.opts.Metrics.Inc("membership_heartbeats_sent")
	resp, err := client.Heartbeat(ctx, req)
	if err != nil {
		s.opts.Metrics.Inc("membership_heartbeat_failures")
		return
	}
	reply := HeartbeatReply{From: host.FromProto(resp.GetFrom()), Epoch: resp.GetEpoch(), Counts: resp.GetCountsAsContact()}
	if resp.GetNewerEpoch() != nil {
		r := recordFromProto(resp.GetNewerEpoch())
		reply.Newer = &r
	}
	s.handle(HeartbeatReplied{To: a.To, Sent: sent, Reply: reply})
	if s.opts.OnPeerConfigStatus != nil && keyOf(reply.From) == keyOf(a.To) {
		age := resp.GetFreshnessAgeNanos()
		s.opts.OnPeerConfigStatus(PeerConfigStatus{
			From: a.To, Generation: resp.GetGeneration(),
			FreshnessAge: time.Duration(max(age, 0)), Confirmed: age >= 0, Sent: sent,
		})
	}
}

// keyProto omits the address and the zone, which heartbeats do not need and which would be half of their bytes.
func keyProto(id host.ID) *peerv1.HostID {
	return &peerv1.HostID{Name: id.Name, Incarnation: id.Incarnation}
}

func (s *Service) requestReport(ctx context.Context, a RequestReport) {
	req := &peerv1.ReportSilenceRequest{From: s.opts.Self.Proto(), SilenceNanos: a.Request.UnreachableFor.Nanoseconds()}
	for _, e := range a.Request.Suspects {
		req.Suspects = append(req.Suspects, e.Host.Proto())
		req.Sessions = append(req.Sessions, e.Session)
	}
	resp, err := peerv1.NewMembershipClient(s.opts.Dialer.Conn(a.To.Addr)).ReportSilence(ctx, req)
	if err == nil {
		s.handle(ReportReplied{Sent: a, Reply: ReportReply{Unreachable: resp.GetSilent(), Known: resp.GetKnownEpochs()}})
	}
}

func (s *Service) acquireLease(ctx context.Context, a AcquireLease) {
	sent := time.Now()
	id, ttl, err := s.opts.Store.GrantLease(ctx, s.opts.Timing.LeaseTTL)
	if err != nil {
		s.storeFailed(CallLease, err)
		return
	}
	value, err := proto.Marshal(&peerv1.Registration{Host: s.opts.Self.Proto(), Ready: a.Ready})
	if err != nil {
		s.storeFailed(CallLease, err)
		return
	}
	session := sessionKey(s.opts.Self)
	result, err := s.opts.Store.Txn(ctx, []kvstore.Condition{{Key: session, ModRevision: a.Session}}, []kvstore.Write{
		{Key: registeredKey(s.opts.Self), Value: value, Lease: id},
		{Key: session, Value: []byte(s.opts.Self.Addr)},
	})
	if err != nil {
		s.storeFailed(CallLease, err)
		return
	}
	if !result.Succeeded {
		refused := RegistrationRefused{}
		for _, kv := range result.Current {
			if kv.Key == session {
				refused.Session = kv.ModRevision
			}
		}
		s.handle(refused)
		return
	}
	s.handle(LeaseAcquired{Sent: sent, Lease: id, TTL: min(ttl, s.opts.Timing.LeaseTTL), Session: result.Revision, Ready: a.Ready})
}

func (s *Service) renewLease(ctx context.Context, a RenewLease) {
	sent := time.Now()
	ttl, err := s.opts.Store.KeepAlive(ctx, a.Lease)
	var expired *kvstore.LeaseExpiredError
	switch {
	case errors.As(err, &expired):
		s.opts.Metrics.Inc("membership_leases_lost")
		s.handle(LeaseLost(a))
	case err != nil:
		s.storeFailed(CallLease, err)
	default:
		s.handle(LeaseRenewed{Sent: sent, Lease: a.Lease, TTL: min(ttl, s.opts.Timing.LeaseTTL)})
	}
}

func (s *Service) readEpoch(ctx context.Context, a ReadEpoch) {
	kv, found, err := s.opts.Store.Get(ctx, epochKey)
	if err != nil {
		s.storeFailed(CallReadEpoch, err)
		return
	}
	read := EpochRead{Read: a, Found: found, Revision: kv.ModRevision}
	if found {
		if read.Record, err = unmarshalRecord(kv.Value); err != nil {
			s.opts.Log.Error(err, "failed to read the epoch: invalid record in the store")
			s.storeFailed(CallReadEpoch, err)
			return
		}
	}
	s.handle(read)
}

func (s *Service) readRegistry(ctx context.Context) {
	kvs, err := s.opts.Store.List(ctx, memberPrefix)
	if err != nil {
		s.storeFailed(CallReadRegistry, err)
		return
	}
	r, damaged := parseRegistry(kvs)
	if damaged > 0 {
		s.opts.Metrics.Add("membership_registrations_damaged", int64(damaged))
	}
	s.handle(RegistryRead{Registry: r})
}

// parseRegistry skips and counts records that cannot be decoded or do not match their key. Skipping is safe, because a
// missing registration alone never excludes a host.
func parseRegistry(kvs []kvstore.KeyValue) (r Registry, damaged int) {
	r = Registry{Sessions: map[hostKey]int64{}}
	for _, kv := range kvs {
		if suffix, ok := strings.CutPrefix(kv.Key, sessionPrefix); ok {
			if k, ok := parseKeySuffix(suffix); ok {
				r.Sessions[k] = kv.ModRevision
			} else {
				damaged++
			}
			continue
		}
		var reg peerv1.Registration
		err := proto.Unmarshal(kv.Value, &reg)
		h := host.FromProto(reg.GetHost())
		if err != nil || !isComplete(h) || registeredKey(h) != kv.Key {
			damaged++
			continue
		}
		r.Registered = append(r.Registered, Registration{Host: h, Ready: reg.GetReady()})
	}
	return r, damaged
}

// proposeEpoch writes the epoch by compare-and-swap. The transaction requires that excluded hosts hold no registration
// and have not begun a later session, so that a host that has registered again is not excluded by outdated reports.
func (s *Service) proposeEpoch(ctx context.Context, a ProposeEpoch) {
	value, err := marshalRecord(a.Record)
	if err != nil {
		s.storeFailed(CallPropose, err)
		return
	}
	conditions := []kvstore.Condition{{Key: epochKey, ModRevision: a.Revision}}
	writes := []kvstore.Write{{Key: epochKey, Value: value}}
	for _, e := range a.Excluded {
		conditions = append(conditions, kvstore.Condition{Key: registeredKey(e.Host)},
			kvstore.Condition{Key: sessionKey(e.Host), ModRevision: e.Session})
		writes = append(writes, kvstore.Write{Key: sessionKey(e.Host)})
	}
	for _, h := range a.Replaced {
		writes = append(writes, kvstore.Write{Key: sessionKey(h)})
	}
	result, err := s.opts.Store.Txn(ctx, conditions, writes)
	if err != nil {
		s.storeFailed(CallPropose, err)
		return
	}
	s.opts.Log.Info("epoch proposed", "epoch", a.Record.Number, "accepted", result.Succeeded,
		"hosts", len(a.Record.Hosts), "excluded", len(a.Excluded), "replaced", len(a.Replaced))
	s.handle(EpochProposed{Proposal: a, Accepted: result.Succeeded, Revision: result.Revision})
}

func (s *Service) listHosts(ctx context.Context) {
	entries, err := s.opts.Hosts.ListHosts(ctx)
	if err == nil {
		s.handle(HostsListed{Entries: entries})
	}
}
