package quota

import (
	"math"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Lender identifies the run of a home host that gave a grant, and the grant.
type Lender struct {
	Host host.ID
	// GrantID is unique within the lender's incarnation.
	GrantID uint64
}

// Times of returns and of demand measurement on the borrower.
const (
	// returnLead is how long before the end of a term the unspent rest is returned, so that it reaches the
	// lender before others miss it.
	returnLead = GrantTerm / 5
	// shortIdle is how long the rest of a short grant waits for another request.
	shortIdle = 100 * time.Millisecond
	// keepAlive is the longest time between settlements of an open grant. It is well under EntryTTL.
	keepAlive = EntryTTL / 3
	// useInterval is the longest time for which used tokens stay unreported; until then they hold back the
	// lender's refill by the cap rule.
	useInterval = time.Second
	// demandWindow is the time constant of the demand average, and the time for which a grant should last.
	demandWindow = time.Second
)

// Borrower holds the grants of one workspace on one host. It is a pure state machine: callers serialize calls
// and pass times of one monotonic clock.
type Borrower struct {
	grants []*held
	// demand is the average of admitted tokens per second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// held is one grant or loan at the borrower. Its free amount is what can still be admitted.
type held struct {
	lender   Lender
	amount   int64
	used     int64
	returned int64
	reserved int64
	// spendUntil is the term counted from when the request was sent.
	spendUntil time.Time
	short      bool
	lastUse    time.Time
	// ackedUsed and ackedReturned are the amounts of the last acknowledged settlement.
	ackedUsed, ackedReturned int64
	sentAt                   time.Time
	heardAt                  time.Time
}

func (g *held) free() int64 { return g.amount - g.used - g.returned - g.reserved }

// Add takes in a grant whose request was sent at the given time.
func (b *Borrower) Add(now, sent time.Time, lender Lender, grant Grant) {
	b.grants = append(b.grants, &held{
		lender: lender, amount: grant.Amount, spendUntil: sent.Add(grant.Term),
		short: grant.Term <= ShortTerm, lastUse: now, sentAt: now, heardAt: now,
	})
}

// Free is the amount that can be admitted now.
func (b *Borrower) Free(now time.Time) int64 {
	var sum int64
	for _, g := range b.grants {
		if now.Before(g.spendUntil) {
			sum += g.free()
		}
	}
	return sum
}

// Part is what a reservation holds of one grant.
type Part struct {
	grant  *held
	tokens int64
}

// Take reserves tokens, from the grants that end first. It returns nil when they do not suffice.
func (b *Borrower) Take(now time.Time, tokens int64) []Part {
	if tokens <= 0 || b.Free(now) < tokens {
		return nil
	}
	var parts []Part
	for tokens > 0 {
		g := b.earliest(now)
		n := min(g.free(), tokens)
		g.reserved += n
		g.lastUse = now
		tokens -= n
		parts = append(parts, Part{grant: g, tokens: n})
	}
	return parts
}

func (b *Borrower) earliest(now time.Time) *held {
	var best *held
	for _, g := range b.grants {
		if now.Before(g.spendUntil) && g.free() > 0 && (best == nil || g.spendUntil.Before(best.spendUntil)) {
			best = g
		}
	}
	return best
}

// Use marks up to tokens of the parts as used and returns how many it marked.
func Use(parts []Part, tokens int64) int64 {
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

// Release gives back what the parts still reserve. It can be admitted again while the grant's term runs.
func Release(parts []Part) {
	for i := range parts {
		parts[i].grant.reserved -= parts[i].tokens
		parts[i].tokens = 0
	}
}

// Observe counts tokens as demand on this host.
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

// Want is the amount to ask for when need is missing: the need and the demand of the next demandWindow.
func (b *Borrower) Want(now time.Time, need int64) int64 {
	b.decay(now)
	return need + int64(b.demand*demandWindow.Seconds())
}

// Settlement is the cumulative state of a grant for its lender.
type Settlement struct {
	Lender         Lender
	Used, Returned int64
}

// Settlements returns what lenders have to be told now, without those in skip (by host name). It first gives up
// the free amounts of grants that end soon or lie idle; those are never admitted again.
func (b *Borrower) Settlements(now time.Time, skip map[string]bool) []Settlement {
	var out []Settlement
	for _, g := range b.grants {
		if skip[g.lender.Host.Name] {
			continue
		}
		if g.mustReturn(now) {
			g.returned += g.free()
		}
		if g.due(now) {
			g.sentAt = now
			out = append(out, Settlement{Lender: g.lender, Used: g.used, Returned: g.returned})
		}
	}
	return out
}

func (g *held) mustReturn(now time.Time) bool {
	if g.short {
		return now.Sub(g.lastUse) >= shortIdle || !now.Before(g.spendUntil)
	}
	return !now.Before(g.spendUntil.Add(-returnLead))
}

func (g *held) due(now time.Time) bool {
	if g.returned > g.ackedReturned || g.used+g.returned == g.amount {
		return true
	}
	if g.used > g.ackedUsed && now.Sub(g.sentAt) >= useInterval {
		return true
	}
	return now.Sub(g.sentAt) >= keepAlive
}

// ReturnAll gives up every free amount, for a drain.
func (b *Borrower) ReturnAll() {
	for _, g := range b.grants {
		g.returned += g.free()
	}
}

// Settled notes that the lender acknowledged a settlement, and forgets grants that are closed.
func (b *Borrower) Settled(now time.Time, s Settlement) {
	for _, g := range b.grants {
		if g.lender == s.Lender {
			g.ackedUsed = max(g.ackedUsed, s.Used)
			g.ackedReturned = max(g.ackedReturned, s.Returned)
			g.heardAt = now
		}
	}
	b.forget(now)
}

// forget drops grants that are settled, and grants whose lender has closed the entry because it heard nothing.
func (b *Borrower) forget(now time.Time) {
	kept := b.grants[:0]
	for _, g := range b.grants {
		settled := g.ackedUsed+g.ackedReturned == g.amount
		lost := now.Sub(g.heardAt) >= withMargin(EntryTTL) && !now.Before(g.spendUntil) && g.reserved == 0
		if !settled && !lost {
			kept = append(kept, g)
		}
	}
	clear(b.grants[len(kept):])
	b.grants = kept
}

// Idle reports whether the borrower can be dropped from memory.
func (b *Borrower) Idle(now time.Time) bool {
	b.forget(now)
	b.decay(now)
	return len(b.grants) == 0 && b.demand < 1
}
