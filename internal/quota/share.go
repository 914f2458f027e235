package quota

import (
	"math/bits"
	"time"
)

// Terms of grants and loans. A term limits when tokens may be admitted, not how long a request runs.
const (
	// GrantTerm is the term of grants that a borrower keeps for later requests.
	GrantTerm = 5 * time.Second
	// ShortTerm is the term of grants for a waiting request. A new home host keeps its bucket empty for this
	// time, so these grants do not count against the half of the share that may be unspent in others' hands.
	ShortTerm = time.Second
	// EntryTTL is how long a lender keeps an entry without a settlement. The rest then counts as used.
	EntryTTL = 30 * time.Second
	// clockMarginDivisor is 1 / 5%: the clocks of two hosts differ in rate by at most this part.
	clockMarginDivisor = 20
)

// withMargin extends a term by the clock margin. A lender measures terms with it.
func withMargin(term time.Duration) time.Duration { return term + term/clockMarginDivisor }

// nano is the number of nanotokens in a token and of nanoseconds in a second.
const nano = 1_000_000_000

// maxTokens bounds burst and rate so that nanotokens fit into 63 bits.
const maxTokens = int64(1) << 33

// Share is one zone's part of a workspace's bucket.
type Share struct {
	// Burst is in tokens.
	Burst int64
	// Rate is in nanotokens per second, so that small rates divide without loss.
	Rate int64
}

// Min returns the smaller burst and the smaller rate of two shares.
func (s Share) Min(o Share) Share {
	return Share{Burst: min(s.Burst, o.Burst), Rate: min(s.Rate, o.Rate)}
}

// half is the most that a home host may have unspent in others' hands.
func (s Share) half() int64 { return s.Burst / 2 }

// ShareOf divides burst (tokens) and rate (tokens per second) by the weights and returns the part of the
// weight at index i. Rounding is of running sums, so the parts add up to exactly the whole: a request of the
// whole burst can be admitted from all zones together.
func ShareOf(burst, rate int64, weights []int64, i int) Share {
	var before, total int64
	for j, w := range weights {
		if j < i {
			before += w
		}
		total += w
	}
	if total <= 0 || weights[i] <= 0 {
		return Share{}
	}
	part := func(whole int64) int64 {
		return mulDiv(whole, before+weights[i], total) - mulDiv(whole, before, total)
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
