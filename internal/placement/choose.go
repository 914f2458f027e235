package placement

import (
	"slices"
	"time"
)

const (
	// spreadCost is the penalty of a fully loaded decode server over an idle one. It spreads requests, since each stream
	// slows down the others of its batch.
	spreadCost = 10 * time.Millisecond
	// transferSlack is how long before a planned transfer another one may start and still count as sharing the link.
	transferSlack = 5 * time.Millisecond
)

// candidate is a server with its predicted waits, counted from now.
type candidate struct {
	server *serverView
	zone   int
	// ready is the time until the prefill would be finished, or until a decode slot is free.
	ready time.Duration
	// load is the fraction of decode slots in use, 1 when a request has to wait.
	load float64
	// cached is the number of the prompt's prefix blocks expected in the server's cache.
	cached int
	ok     bool
}

// pair is a prefill server and a decode server, with the predicted times of a request that runs on them.
type pair struct {
	prefill, decode candidate
	// score is the prediction with penalties; firstToken is the predicted time to the first token.
	score, firstToken time.Duration
	transfer          time.Duration
	// prefillTime is the predicted time of the prefill without waits, tokenTime that of one output token, and decodeTime
	// that of the transfer and all output tokens together.
	prefillTime, tokenTime, decodeTime time.Duration
	ok                                 bool
}

// query holds the properties of a request that the choice depends on.
type query struct {
	now           time.Time
	tokens        int64
	blocks        []uint64
	exclude       []string
	zone          int
	waitClass     bool
	deniedPrefill []*serverView
	deniedDecode  []*serverView
	// fixed is the prefill server that already holds the KV cache, if any.
	fixed *serverView
	// reservedDecode is the server on which a decode slot is already reserved, if any.
	reservedDecode *serverView
}

func (q *query) unusable(v *serverView, tried []*serverView) bool {
	return v.down(q.now) || slices.Contains(tried, v) || (len(q.exclude) > 0 && slices.Contains(q.exclude, v.name))
}

// choose returns the best pair. It finds the best prefill and decode server of each availability zone, then compares
// the pairs of zones including the transfer between them, so that the cost is linear in the number of servers.
func (v *view) choose(m *modelView, q *query) pair {
	pre, dec := v.bestByZone(m, q)
	var best pair
	for _, p := range pre {
		for _, d := range dec {
			if p.ok && d.ok {
				v.consider(&best, p, d, q)
			}
		}
	}
	for _, s := range m.both {
		if q.allowsPrefill(s) && q.allowsDecode(s) {
			v.consider(&best, v.prefillCandidate(s, q), decodeCandidate(s, q), q)
		}
	}
	return best
}

// bestByZone returns the best prefill server and the best decode server of each zone, indexed by zone.
func (v *view) bestByZone(m *modelView, q *query) (pre, dec []candidate) {
	pre, dec = v.scratch()
	for _, s := range m.prefill {
		if q.allowsPrefill(s) {
			v.bestPrefill(pre, s, q)
		}
	}
	for _, s := range m.decode {
		if q.allowsDecode(s) {
			bestDecode(dec, s, q)
		}
	}
	if q.fixed != nil {
		pre[q.fixed.zone] = candidate{server: q.fixed, zone: q.fixed.zone, ok: true}
	}
	return pre, dec
}

func (q *query) allowsPrefill(s *serverView) bool {
	return q.fixed == nil && !s.homeUnreachable(q.now) && !q.unusable(s, q.deniedPrefill)
}

func (q *query) allowsDecode(s *serverView) bool {
	if q.reservedDecode != nil {
		return q.reservedDecode == s
	}
	return !s.homeUnreachable(q.now) && !q.unusable(s, q.deniedDecode)
}

// scratch returns cleared tables of candidates by zone. The view reuses them so that a choice does not allocate.
func (v *view) scratch() (pre, dec []candidate) {
	n := len(v.zones)
	if cap(v.pre) < n {
		v.pre, v.dec = make([]candidate, n), make([]candidate, n)
	}
	v.pre, v.dec = v.pre[:n], v.dec[:n]
	clear(v.pre)
	clear(v.dec)
	return v.pre, v.dec
}

func (v *view) prefillCandidate(s *serverView, q *query) candidate {
	cached := 0
	if len(q.blocks) > 0 {
		cached = v.index.Match(s.name, q.now, q.blocks)
	}
	return candidate{
		server: s, zone: s.zone, cached: cached, ok: true,
		ready: s.prefillWait(q.now, q.waitClass) + s.costs.Prefill(uncachedTokens(q.tokens, cached)),
	}
}

func (v *view) bestPrefill(pre []candidate, s *serverView, q *query) {
	best := &pre[s.zone]
	// A cache hit saves at most the prefill time. A server whose wait alone is as long as the best server's wait and
	// prefill together is therefore skipped without a look-up in the cache index.
	if best.ok && s.prefillWait(q.now, q.waitClass) >= best.ready {
		return
	}
	if c := v.prefillCandidate(s, q); !best.ok || c.ready < best.ready {
		*best = c
	}
}

func decodeCandidate(s *serverView, q *query) candidate {
	wait, load := s.slotWait(q.waitClass)
	return candidate{server: s, zone: s.zone, ready: wait, load: load, ok: true}
}

func bestDecode(dec []candidate, s *serverView, q *query) {
	best := &dec[s.zone]
	c := decodeCandidate(s, q)
	if !best.ok || c.ready < best.ready || (c.ready == best.ready && c.load < best.load) {
		*best = c
	}
}

// consider scores a pair and keeps it if it is the best so far. The first token is predicted for the time at which the
// prefill has ended and a decode slot is free, plus one decode step and, if the servers differ, the transfer on a link
// that is shared with planned transfers.
func (v *view) consider(best *pair, p, d candidate, q *query) {
	transfer := time.Duration(0)
	if p.server != d.server {
		transfer = d.server.costs.Transfer(q.tokens, v.links.inFlight(p.zone, d.zone, q.now.Add(p.ready)))
	}
	firstToken := max(p.ready, d.ready) + transfer + d.server.costs.Decode(1)
	score := firstToken + time.Duration(d.load*float64(spreadCost))
	if p.zone != q.zone || d.zone != q.zone {
		score += v.opt.CrossZoneMargin
	}
	if !best.ok || score < best.score {
		*best = pair{prefill: p, decode: d, score: score, firstToken: firstToken, transfer: transfer, ok: true}
	}
}

// links holds the transfers planned by this host, by source and destination zone.
type links struct {
	byZones map[[2]int][]*plannedTransfer
}

// plannedTransfer is the predicted transfer of a KV cache of the given number of prompt tokens.
type plannedTransfer struct {
	start, end time.Time
	tokens     int64
}

// inFlight is the number of tokens whose transfer is expected to share the link with one that starts at the given time.
func (l *links) inFlight(from, to int, at time.Time) int64 {
	var sum int64
	for _, f := range l.byZones[[2]int{from, to}] {
		if !at.Before(f.start.Add(-transferSlack)) && at.Before(f.end) {
			sum += f.tokens
		}
	}
	return sum
}

// add records a planned transfer and removes finished ones. The returned function removes it again.
func (l *links) add(now time.Time, from, to int, f plannedTransfer) func() {
	if l.byZones == nil {
		l.byZones = map[[2]int][]*plannedTransfer{}
	}
	k := [2]int{from, to}
	l.byZones[k] = append(slices.DeleteFunc(l.byZones[k], func(f *plannedTransfer) bool { return f.end.Before(now) }), &f)
	return func() {
		l.byZones[k] = slices.DeleteFunc(l.byZones[k], func(x *plannedTransfer) bool { return x == &f })
	}
}
