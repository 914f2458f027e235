package quota

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// HostState is the quota state of one host: the buckets for which it is the home host and the grants that it holds as a
// borrower. It is a pure state machine without I/O, goroutines or clocks: callers serialize calls, pass times of
// one monotonic clock, call Sync before every use, and send the messages.
type HostState struct {
	self       host.ID
	snapshot   *config.Snapshot
	epoch      membership.Epoch
	ownership  Ownership
	divisions  DivisionRollout
	workspaces map[string]*workspace
	lastGrant  uint64
	// leaving is set by Leave. Buckets are kept for their successors through the first epoch without this host.
	leaving bool
}

// workspace is the state of one workspace on this host.
type workspace struct {
	// bucket is nil when this host keeps no bucket for the workspace, or when the bucket is idle and can be
	// recreated.
	bucket   *Bucket
	borrower Borrower
}

// NewHostState returns the state of a host that has just started. It has no epoch, configuration or buckets before the
// first Sync.
func NewHostState(self host.ID) *HostState {
	return &HostState{
		self: self, ownership: Ownership{self: self}, divisions: DivisionRollout{noGrants: true}, workspaces: map[string]*workspace{},
	}
}

// workspace returns the state of a workspace and creates it on first use.
func (h *HostState) workspace(name string) *workspace {
	w := h.workspaces[name]
	if w == nil {
		w = &workspace{}
		h.workspaces[name] = w
	}
	return w
}

// rule returns the workspace's rule in the active configuration, or nil.
func (h *HostState) rule(name string) *rules.Workspace {
	if h.snapshot == nil {
		return nil
	}
	return h.snapshot.Workspace(name)
}

func (h *HostState) share(name string) Share {
	ws := h.rule(name)
	if ws == nil {
		return Share{}
	}
	return h.divisions.Share(h.self.Zone, ws.Burst, ws.Rate)
}

// bucket returns the bucket of a workspace, or nil if this host may not use it now.
func (h *HostState) bucket(now time.Time, name string) *Bucket {
	role, since := h.ownership.StateOf(name)
	ready, activeSince := h.divisions.Ready()
	if role != OwnershipHeld || !ready || h.leaving {
		return nil
	}
	w := h.workspace(name)
	if w.bucket == nil {
		w.bucket = NewBucket(laterOf(since, activeSince), h.share(name))
		w.bucket.Advance(now)
	}
	return w.bucket
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Admit takes tokens from the grants and the bucket on this host. It returns nil without an error when these do not
// suffice.
func (h *HostState) Admit(now time.Time, name string, tokens int64) (*Admission, error) {
	ws := h.rule(name)
	switch {
	case tokens < 0:
		return nil, &InvalidAmountError{Tokens: tokens}
	case ws == nil:
		return nil, &UnavailableError{Workspace: name, Cause: &UnknownWorkspaceError{Workspace: name}}
	case tokens > ws.Burst:
		return nil, &ExceedsBurstError{Workspace: name, Tokens: tokens, Burst: ws.Burst}
	}
	a := &Admission{}
	if tokens == 0 {
		return a, nil
	}
	w, bucket := h.workspace(name), h.bucket(now, name)
	granted := min(w.borrower.Free(now), tokens)
	if remaining := tokens - granted; remaining > 0 {
		if bucket == nil || !bucket.Reserve(now, remaining) {
			return nil, nil
		}
		a.bucket, a.bucketTokens = bucket, remaining
	}
	a.parts = w.borrower.Take(now, granted)
	w.borrower.Observe(now, tokens)
	return a, nil
}

// Available returns the number of tokens that this host can admit without a draw.
func (h *HostState) Available(now time.Time, name string) int64 {
	held := h.workspace(name).borrower.Free(now)
	if bucket := h.bucket(now, name); bucket != nil {
		held += bucket.Level(now)
	}
	return held
}

// Admission is an admitted amount of tokens. It returns the unused tokens when it is closed.
type Admission struct {
	parts []GrantPart
	// bucketTokens were taken from this host's own bucket.
	bucket       *Bucket
	bucketTokens int64
}

// Use marks tokens as used, at most the reserved ones, so that Close does not return them.
func (a *Admission) Use(tokens int64) {
	if tokens <= 0 {
		return
	}
	remaining := tokens - UseParts(a.parts, tokens)
	if k := min(remaining, a.bucketTokens); k > 0 {
		a.bucketTokens -= k
		a.bucket.Use(k)
	}
}

// Close returns the unused tokens. It may be called repeatedly.
func (a *Admission) Close(now time.Time) {
	ReleaseParts(a.parts)
	if a.bucketTokens > 0 {
		a.bucket.Refund(now, a.bucketTokens)
		a.bucketTokens = 0
	}
}

// Want returns the amount to request from a lender when need tokens are missing.
func (h *HostState) Want(now time.Time, name string, need int64) int64 {
	return h.workspace(name).borrower.Want(now, need)
}

// Draw handles a draw request of a borrower. The caller has checked the authority to admit.
func (h *HostState) Draw(now time.Time, name string, need, want int64) *peerv1.DrawResponse {
	reply := &peerv1.DrawResponse{Epoch: h.epoch.Number, LenderIncarnation: h.self.Incarnation, RetryAfterNanos: -1}
	bucket := (*Bucket)(nil)
	if h.rule(name) != nil {
		bucket = h.bucket(now, name)
	}
	if bucket == nil {
		reply.NotHome = true
		return reply
	}
	h.lastGrant++
	g := bucket.Draw(now, h.lastGrant, need, want)
	h.divisions.noGrants = h.divisions.noGrants && g.Amount == 0
	reply.GrantId, reply.Amount, reply.TermNanos = h.lastGrant, g.Amount, int64(g.Term)
	if missing := need - g.Amount; missing > 0 {
		reply.RetryAfterNanos = int64(refillTime(missing, bucket.share.Rate))
	}
	return reply
}

// AddGrant records the grant in a lender's reply to a request that was sent at the given time.
func (h *HostState) AddGrant(now, sent time.Time, name string, lender host.ID, reply *peerv1.DrawResponse) {
	if reply.GetAmount() <= 0 {
		return
	}
	lender.Incarnation = reply.GetLenderIncarnation()
	h.divisions.noGrants = false
	h.workspace(name).borrower.Add(now, sent, Lender{Host: lender, GrantID: reply.GetGrantId()},
		Grant{Amount: reply.GetAmount(), Term: time.Duration(reply.GetTermNanos())})
}

// SettlementBatch is the set of settlements that is sent to one lender in one message.
type SettlementBatch struct {
	To      host.ID
	Entries []*peerv1.GrantSettlement
}

// Settlements returns the due settlements by lender, except those for the lenders in skip (by host name).
func (h *HostState) Settlements(now time.Time, skip map[string]bool) []*SettlementBatch {
	byLender := map[string]*SettlementBatch{}
	var batches []*SettlementBatch
	for name, w := range h.workspaces {
		for _, e := range w.borrower.Settlements(now, skip) {
			b := byLender[e.Lender.Host.Name]
			if b == nil {
				b = &SettlementBatch{To: e.Lender.Host}
				byLender[e.Lender.Host.Name] = b
				batches = append(batches, b)
			}
			b.Entries = append(b.Entries, &peerv1.GrantSettlement{
				Workspace: name, GrantId: e.Lender.GrantID, LenderIncarnation: e.Lender.Host.Incarnation,
				Used: e.Used, Returned: e.Returned,
			})
		}
	}
	return batches
}

// RecordSettlementAck records that a lender acknowledged a batch.
func (h *HostState) RecordSettlementAck(now time.Time, b *SettlementBatch) {
	for _, e := range b.Entries {
		if w := h.workspaces[e.GetWorkspace()]; w != nil {
			lender := b.To
			lender.Incarnation = e.GetLenderIncarnation()
			w.borrower.RecordSettlementAck(now, Settlement{
				Lender: Lender{Host: lender, GrantID: e.GetGrantId()}, Used: e.GetUsed(), Returned: e.GetReturned(),
			})
		}
	}
}

// Settle applies a borrower's settlements. Settlements for another incarnation of this host are ignored.
func (h *HostState) Settle(now time.Time, entries []*peerv1.GrantSettlement) {
	for _, e := range entries {
		w := h.workspaces[e.GetWorkspace()]
		if w != nil && w.bucket != nil && e.GetLenderIncarnation() == h.self.Incarnation {
			w.bucket.Settle(now, e.GetGrantId(), e.GetUsed(), e.GetReturned())
		}
	}
}

// ReturnAll marks the free tokens of all grants as returned. It is called during a drain.
func (h *HostState) ReturnAll() {
	for _, w := range h.workspaces {
		w.borrower.ReturnAll()
	}
}

// Sweep drops idle state from memory, except for workspaces in use, and returns the number of workspaces left. A
// leaving host keeps its buckets, since it cannot recreate them for the handover.
func (h *HostState) Sweep(now time.Time, inUse func(name string) bool) int {
	ready, activeSince := h.divisions.Ready()
	for name, w := range h.workspaces {
		role, since := h.ownership.StateOf(name)
		if w.bucket != nil && !h.leaving && ready && role == OwnershipHeld && w.bucket.Idle(now, laterOf(since, activeSince)) {
			w.bucket = nil
		}
		if w.bucket == nil && !inUse(name) && w.borrower.Idle(now) {
			delete(h.workspaces, name)
		}
	}
	return len(h.workspaces)
}
