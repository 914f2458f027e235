package quota

import (
	"math/bits"
	"time"
)

// Terms of grants and loans. A term limits when tokens may be admitted, not the duration of the request.
const (
	// GrantTerm is the term of grants that a borrower keeps for later requests (long grants).
	GrantTerm = 5 * time.Second
	// ShortTerm is the term of grants for a waiting request. A new home host keeps its bucket empty for this time,
	// so short grants do not count against the half of the share that may be lent and unspent.
	ShortTerm = time.Second
	// EntryTTL is how long a lender keeps an entry without receiving a settlement. The remaining tokens then count
	// as used.
	EntryTTL = 30 * time.Second
	// clockMarginDivisor is 1 / 5%: the rates of two hosts' clocks differ by at most this fraction.
	clockMarginDivisor = 20
)

// withMargin extends a term by the clock margin. Lenders measure terms with it, so that a borrower's term ends
// first.
func withMargin(term time.Duration) time.Duration { return term + term/clockMarginDivisor }

// nano is the number of nanotokens in a token and of nanoseconds in a second.
const nano = 1_000_000_000

// maxTokens bounds burst and rate so that amounts in nanotokens fit into 63 bits.
const maxTokens = int64(1) << 33

// Share is one zone's share of a workspace's bucket.
type Share struct {
	// Burst is in tokens.
	Burst int64
	// Rate is in nanotokens per second, so that dividing small rates loses nothing.
	Rate int64
}

// Min returns the smaller burst and the smaller rate of two shares.
func (s Share) Min(o Share) Share {
	return Share{Burst: min(s.Burst, o.Burst), Rate: min(s.Rate, o.Rate)}
}

// lendingLimit is the largest number of tokens that may be outstanding in long grants.
func (s Share) lendingLimit() int64 { return s.Burst / 2 }

// ShareOf divides burst (tokens) and rate (tokens per second) by the weights and returns the share of the weight at
// index i. Running sums are rounded, so the shares add up to exactly the burst: a request for the full burst can be
// admitted from all zones together.
func ShareOf(burst, rate int64, weights []int64, i int) Share {
	var weightBefore, total int64
	for j, w := range weights {
		if j < i {
			weightBefore += w
		}
		total += w
	}
	if total <= 0 || weights[i] <= 0 {
		return Share{}
	}
	part := func(amount int64) int64 {
		return mulDiv(amount, weightBefore+weights[i], total) - mulDiv(amount, weightBefore, total)
	}
	return Share{Burst: part(clamp(burst)), Rate: part(clamp(rate) * nano)}
}

func clamp(tokens int64) int64 { return min(max(tokens, 0), maxTokens) }

// mulDiv returns a*b/c rounded down, for non-negative a and b <= c.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
