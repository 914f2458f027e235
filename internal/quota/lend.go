package quota

import "time"

// Grant is an amount of tokens with a term, deducted from the lender's level.
type Grant struct {
	Amount int64
	Term   time.Duration
}

// prefetchDivisor limits what a grant adds to the need to a part of the level, so that a nearly empty bucket
// is not scattered over the hosts.
const prefetchDivisor = 8

// Draw gives up to need tokens, and up to want when the bucket has plenty. The grant has the given id, which
// the caller makes unique. An amount of zero leaves no entry.
func (h *Home) Draw(now time.Time, id uint64, need, want int64) Grant {
	available := h.Level(now)
	amount := min(max(need, 0), available)
	extra := min(max(want-need, 0), (available-amount)/prefetchDivisor)
	g := Grant{Amount: amount, Term: ShortTerm}
	if extra > 0 && amount+extra <= h.share.half()-h.inherited-h.longOpen(now) {
		g = Grant{Amount: amount + extra, Term: GrantTerm}
	}
	if g.Amount == 0 {
		return Grant{}
	}
	e := &entry{
		amount:     g.Amount,
		long:       g.Term > ShortTerm,
		spendUntil: now.Add(withMargin(g.Term)),
		closeAt:    now.Add(withMargin(EntryTTL)),
	}
	h.entries[id] = e
	h.noteClose(e.closeAt)
	h.level.tokens -= g.Amount
	h.open += g.Amount
	return g
}

// longOpen is the unspent amount of long grants whose term runs.
func (h *Home) longOpen(now time.Time) int64 {
	var sum int64
	for _, e := range h.entries {
		if e.long && now.Before(e.spendUntil) {
			sum += e.open()
		}
	}
	return sum
}

// Settle takes the cumulative amounts of a grant. Repeated and late messages have no second effect. A message
// for a closed entry is dropped, because its rest already counts as used.
func (h *Home) Settle(now time.Time, id uint64, used, returned int64) {
	h.Advance(now)
	e := h.entries[id]
	if e == nil || h.stopped || used < 0 || returned < 0 || used > e.amount || returned > e.amount-used {
		return
	}
	e.closeAt = now.Add(withMargin(EntryTTL))
	newUsed := max(used-e.used, 0)
	newReturned := max(returned-e.returned, 0)
	if newUsed+newReturned > e.open() {
		return
	}
	e.used += newUsed
	e.returned += newReturned
	h.open -= newUsed + newReturned
	h.level.tokens += newReturned
	h.level.cut(h.room(now))
	if e.open() == 0 {
		delete(h.entries, id)
	}
}
