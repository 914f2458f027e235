package quota

import (
	"math"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Lender identifies a grant: the incarnation of the home host that gave it, and the id of the grant there.
type Lender struct {
	Host host.ID
	// GrantID is unique within the lender's incarnation.
	GrantID uint64
}

// Timing of returns, settlements and demand measurement on the borrower.
const (
	// returnLead is how long before the end of a long grant's term the borrower returns the unspent tokens, so that
	// the lender has them back before other hosts need them.
	returnLead = GrantTerm / 5
	// shortGrantIdleTimeout is how long after its last use the unspent tokens of a short grant are kept for another
	// request.
	shortGrantIdleTimeout = 100 * time.Millisecond
	// keepAliveInterval is the longest time between settlements of an open grant. It is well under EntryTTL, after
	// which the lender closes its entry.
	keepAliveInterval = EntryTTL / 3
	// useReportInterval is the longest time before used tokens are reported. Until then the lender counts them as
	// outstanding, which lowers the capacity of its bucket and so limits the refill.
	useReportInterval = time.Second
	// demandWindow is the time constant of the demand average, and the time that a grant should last.
	demandWindow = time.Second
)

// Borrower holds the grants of one workspace on one host. It is a pure state machine: callers serialize calls
// and pass times of one monotonic clock.
type Borrower struct {
	grants []*heldGrant
	// demand is the moving average of admitted tokens per second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// heldGrant is the borrower's record of one grant or loan. Its free amount can still be admitted.
type heldGrant struct {
	lender   Lender
	amount   int64
	used     int64
	returned int64
	reserved int64
	// spendUntil is the end of the term, counted from the time at which the request was sent.
	spendUntil time.Time
	short      bool
	lastUse    time.Time
	// ackedUsed and ackedReturned are the largest amounts that the lender has acknowledged.
	ackedUsed, ackedReturned int64
	settlementSentAt         time.Time
	ackedAt                  time.Time
}

func (g *heldGrant) free() int64 { return g.amount - g.used - g.returned - g.reserved }

// Add records a grant whose request was sent at the given time. The term counts from then, so that it ends before
// the term that the lender counts.
func (b *Borrower) Add(now, sent time.Time, lender Lender, grant Grant) {
	b.grants = append(b.grants, &heldGrant{
		lender: lender, amount: grant.Amount, spendUntil: sent.Add(grant.Term),
		short: grant.Term <= ShortTerm, lastUse: now, settlementSentAt: now, ackedAt: now,
	})
}

// Free returns the number of tokens that can be admitted now.
func (b *Borrower) Free(now time.Time) int64 {
	var sum int64
	for _, g := range b.grants {
		if now.Before(g.spendUntil) {
			sum += g.free()
		}
	}
	return sum
}

// GrantPart is the amount that a reservation holds of one grant.
type GrantPart struct {
	grant  *heldGrant
	tokens int64
}

// Take reserves tokens, from the grants that expire first. It returns nil when there are too few free tokens.
func (b *Borrower) Take(now time.Time, tokens int64) []GrantPart {
	if tokens <= 0 || b.Free(now) < tokens {
		return nil
	}
	var parts []GrantPart
	for tokens > 0 {
		g := b.earliestExpiring(now)
		n := min(g.free(), tokens)
		g.reserved += n
		g.lastUse = now
		tokens -= n
		parts = append(parts, GrantPart{grant: g, tokens: n})
	}
	return parts
}

func (b *Borrower) earliestExpiring(now time.Time) *heldGrant {
	var first *heldGrant
	for _, g := range b.grants {
		if now.Before(g.spendUntil) && g.free() > 0 && (first == nil || g.spendUntil.Before(first.spendUntil)) {
			first = g
		}
	}
	return first
}

// UseParts marks reserved tokens of the parts as used, up to the given number, and returns how many it marked.
func UseParts(parts []GrantPart, tokens int64) int64 {
	var done int64
	for i := range parts {
		n := min(parts[i].tokens, tokens-done)
		parts[i].tokens -= n
		parts[i].grant.reserved -= n
		parts[i].grant.used += n
		done += n
	}
	return done
}

// ReleaseParts frees the reserved tokens of the parts. They can be admitted again until the grant's term ends.
func ReleaseParts(parts []GrantPart) {
	for i := range parts {
		parts[i].grant.reserved -= parts[i].tokens
		parts[i].tokens = 0
	}
}

// Observe adds admitted tokens to this host's demand.
func (b *Borrower) Observe(now time.Time, tokens int64) {
	b.decay(now)
	b.demand += float64(tokens) / demandWindow.Seconds()
}

func (b *Borrower) decay(now time.Time) {
	if elapsed := now.Sub(b.demandAt); elapsed > 0 {
		b.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		b.demandAt = now
	}
}

// Want returns the amount to request when need tokens are missing: need plus the expected demand of the next
// demandWindow.
func (b *Borrower) Want(now time.Time, need int64) int64 {
	b.decay(now)
	return need + int64(b.demand*demandWindow.Seconds())
}

// Settlement is the cumulative state of a grant, as reported to its lender.
type Settlement struct {
	Lender         Lender
	Used, Returned int64
}

// Settlements returns the settlements that are due now, except those for the lenders in skip (by host name). It
// first returns the free tokens of grants that end soon or are idle; those tokens are never admitted again.
func (b *Borrower) Settlements(now time.Time, skip map[string]bool) []Settlement {
	var out []Settlement
	for _, g := range b.grants {
		if skip[g.lender.Host.Name] {
			continue
		}
		if g.returnDue(now) {
			g.returned += g.free()
		}
		if g.settlementDue(now) {
			g.settlementSentAt = now
			out = append(out, Settlement{Lender: g.lender, Used: g.used, Returned: g.returned})
		}
	}
	return out
}

func (g *heldGrant) returnDue(now time.Time) bool {
	if g.short {
		return now.Sub(g.lastUse) >= shortGrantIdleTimeout || !now.Before(g.spendUntil)
	}
	return !now.Before(g.spendUntil.Add(-returnLead))
}

func (g *heldGrant) settlementDue(now time.Time) bool {
	if g.returned > g.ackedReturned || g.used+g.returned == g.amount {
		return true
	}
	if g.used > g.ackedUsed && now.Sub(g.settlementSentAt) >= useReportInterval {
		return true
	}
	return now.Sub(g.settlementSentAt) >= keepAliveInterval
}

// ReturnAll marks all free tokens as returned. It is called during a drain.
func (b *Borrower) ReturnAll() {
	for _, g := range b.grants {
		g.returned += g.free()
	}
}

// RecordSettlementAck records that the lender acknowledged a settlement, and drops closed grants.
func (b *Borrower) RecordSettlementAck(now time.Time, s Settlement) {
	for _, g := range b.grants {
		if g.lender == s.Lender {
			g.ackedUsed = max(g.ackedUsed, s.Used)
			g.ackedReturned = max(g.ackedReturned, s.Returned)
			g.ackedAt = now
		}
	}
	b.dropClosed(now)
}

// dropClosed drops grants that are fully settled, and expired grants whose lender has closed the entry because it
// received no settlement for EntryTTL.
func (b *Borrower) dropClosed(now time.Time) {
	kept := b.grants[:0]
	for _, g := range b.grants {
		settled := g.ackedUsed+g.ackedReturned == g.amount
		expired := now.Sub(g.ackedAt) >= withMargin(EntryTTL) && !now.Before(g.spendUntil) && g.reserved == 0
		if !settled && !expired {
			kept = append(kept, g)
		}
	}
	clear(b.grants[len(kept):])
	b.grants = kept
}

// Idle reports whether the borrower can be dropped from memory.
func (b *Borrower) Idle(now time.Time) bool {
	b.dropClosed(now)
	b.decay(now)
	return len(b.grants) == 0 && b.demand < 1
}
