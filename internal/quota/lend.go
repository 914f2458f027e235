package quota

import "time"

// Grant is an amount of tokens, deducted from the lender's bucket, that the borrower may admit until the term ends.
type Grant struct {
	Amount int64
	Term   time.Duration
}

// prefetchDivisor limits the part of a grant beyond the needed amount to 1/prefetchDivisor of the remaining level, so
// that the last tokens of a nearly empty bucket are not spread over many hosts.
const prefetchDivisor = 8

// Draw grants up to need tokens, and up to want when the level is high enough. The caller supplies an id that is
// unique among the grants of this host. A grant of zero tokens is not recorded.
func (b *Bucket) Draw(now time.Time, id uint64, need, want int64) Grant {
	available := b.Level(now)
	amount := min(max(need, 0), available)
	extra := min(max(want-need, 0), (available-amount)/prefetchDivisor)
	g := Grant{Amount: amount, Term: ShortTerm}
	if extra > 0 && amount+extra <= b.share.lendingLimit()-b.inherited-b.unsettledLongTerm(now) {
		g = Grant{Amount: amount + extra, Term: GrantTerm}
	}
	if g.Amount == 0 {
		return Grant{}
	}
	e := &entry{
		amount:     g.Amount,
		long:       g.Term > ShortTerm,
		spendUntil: now.Add(withMargin(g.Term)),
		expiresAt:  now.Add(withMargin(EntryTTL)),
	}
	b.entries[id] = e
	b.updateNextExpiry(e.expiresAt)
	b.level.tokens -= g.Amount
	b.unsettled += g.Amount
	return g
}

// unsettledLongTerm returns the unsettled amount of GrantTerm grants whose term has not ended.
func (b *Bucket) unsettledLongTerm(now time.Time) int64 {
	var sum int64
	for _, e := range b.entries {
		if e.long && now.Before(e.spendUntil) {
			sum += e.unsettled()
		}
	}
	return sum
}

// Settle applies the cumulative amounts that a borrower reports for a grant. Repeated and delayed messages have no
// further effect. A message for an entry that is no longer recorded is dropped, because its remaining tokens
// already count as used.
func (b *Bucket) Settle(now time.Time, id uint64, used, returned int64) {
	b.Advance(now)
	e := b.entries[id]
	if e == nil || b.stopped || used < 0 || returned < 0 || used > e.amount || returned > e.amount-used {
		return
	}
	e.expiresAt = now.Add(withMargin(EntryTTL))
	newUsed := max(used-e.used, 0)
	newReturned := max(returned-e.returned, 0)
	if newUsed+newReturned > e.unsettled() {
		return
	}
	e.used += newUsed
	e.returned += newReturned
	b.unsettled -= newUsed + newReturned
	b.level.tokens += newReturned
	b.level.capAt(b.capacity(now))
	if e.unsettled() == 0 {
		delete(b.entries, id)
	}
}
