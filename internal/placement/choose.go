package placement

import (
	"slices"
	"time"
)

const (
	// spreadCost is the score of a full decode server against an empty one. It spreads requests, since each
	// stream slows the others of its batch.
	spreadCost = 10 * time.Millisecond
	// transferSlack is how far apart transfers still count as sharing a link.
	transferSlack = 5 * time.Millisecond
)

// candidate is a server as the chooser sees it. Waits are from now.
type candidate struct {
	server *serverView
	zone   int
	// ready is when a prefill would be finished, or a decode slot free.
	ready time.Duration
	// load is between 0 and 1 for decode servers with free slots.
	load float64
	// cached is the number of prefix blocks expected in the cache.
	cached int
	ok     bool
}

// pair is a chosen pair with its prediction.
type pair struct {
	prefill, decode candidate
	// score is the prediction with penalties; first is the predicted time to the first token.
	score, first time.Duration
	transfer     time.Duration
	// need is the prefill's own time, step that of one output token, hold that of the decode.
	need, step, hold time.Duration
	ok               bool
}

// query is what the chooser needs to know of a request.
type query struct {
	now       time.Time
	tokens    int64
	blocks    []uint64
	exclude   []string
	zone      int
	waitClass bool
	noPre     []*serverView
	noDecode  []*serverView
	// fixed is the prefill server that holds the KV cache already.
	fixed *serverView
	// keep is the decode server where a slot is reserved already.
	keep *serverView
}

func (q *query) skips(v *serverView, tried []*serverView) bool {
	return v.down(q.now) || slices.Contains(tried, v) || (len(q.exclude) > 0 && slices.Contains(q.exclude, v.name))
}

// choose returns the best pair: the best prefill server and the best decode server of each zone are found first,
// then the pairs of zones are compared with the transfer between them. This is linear in the number of servers.
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
		if q.takesPrefill(s) && q.takesDecode(s) {
			v.consider(&best, v.prefillCandidate(s, q), decodeCandidate(s, q), q)
		}
	}
	return best
}

// bestByZone finds the best server of each stage in each zone.
func (v *view) bestByZone(m *modelView, q *query) (pre, dec []candidate) {
	pre, dec = v.scratch()
	for _, s := range m.prefill {
		if q.takesPrefill(s) {
			v.bestPrefill(pre, s, q)
		}
	}
	for _, s := range m.decode {
		if q.takesDecode(s) {
			bestDecode(dec, s, q)
		}
	}
	if q.fixed != nil {
		pre[q.fixed.zone] = candidate{server: q.fixed, zone: q.fixed.zone, ok: true}
	}
	return pre, dec
}

func (q *query) takesPrefill(s *serverView) bool {
	return q.fixed == nil && !s.blind(q.now) && !q.skips(s, q.noPre)
}

func (q *query) takesDecode(s *serverView) bool {
	if q.keep != nil {
		return q.keep == s
	}
	return !s.blind(q.now) && !q.skips(s, q.noDecode)
}

// scratch returns cleared tables of candidates by zone; the view owns them so that a decision allocates nothing.
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
		ready: s.prefillWait(q.now, q.waitClass) + s.costs.Prefill(uncached(q.tokens, cached)),
	}
}

func (v *view) bestPrefill(pre []candidate, s *serverView, q *query) {
	best := &pre[s.zone]
	// The cache can save at most the whole prompt, so a server that is too far behind needs no look-up.
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

// consider scores a pair: predicted prefill wait + uncached tokens * prefill cost + transfer time on the link with
// what is in flight + decode wait beyond the end of the prefill.
func (v *view) consider(best *pair, p, d candidate, q *query) {
	transfer := time.Duration(0)
	if p.server != d.server {
		transfer = d.server.costs.Transfer(q.tokens, v.links.inFlight(p.zone, d.zone, q.now.Add(p.ready)))
	}
	first := max(p.ready, d.ready) + transfer + d.server.costs.Decode(1)
	score := first + time.Duration(d.load*float64(spreadCost))
	if p.zone != q.zone || d.zone != q.zone {
		score += v.opt.CrossZoneMargin
	}
	if !best.ok || score < best.score {
		*best = pair{prefill: p, decode: d, score: score, first: first, transfer: transfer, ok: true}
	}
}

// links holds the transfers of this host by pair of zones.
type links struct {
	byZones map[[2]int][]*flight
}

type flight struct {
	start, end time.Time
	tokens     int64
}

// inFlight is the number of tokens whose transfer is expected to share the link with one that starts at a time.
func (l *links) inFlight(from, to int, at time.Time) int64 {
	var sum int64
	for _, f := range l.byZones[[2]int{from, to}] {
		if !at.Before(f.start.Add(-transferSlack)) && at.Before(f.end) {
			sum += f.tokens
		}
	}
	return sum
}

// add records a planned transfer and forgets finished ones. The returned function takes it back.
func (l *links) add(now time.Time, from, to int, f flight) func() {
	if l.byZones == nil {
		l.byZones = map[[2]int][]*flight{}
	}
	k := [2]int{from, to}
	l.byZones[k] = append(slices.DeleteFunc(l.byZones[k], func(f *flight) bool { return f.end.Before(now) }), &f)
	return func() {
		l.byZones[k] = slices.DeleteFunc(l.byZones[k], func(x *flight) bool { return x == &f })
	}
}
