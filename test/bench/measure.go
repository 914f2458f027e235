package bench

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/baseline"
)

// Outcome holds the measures of one run.
type Outcome struct {
	Fleet  string
	Policy baseline.Policy
	Load   float64
	Fault  Fault
	Seed   uint64
	// Goodput is the rate of requests that met their targets, in requests per second, Bound its analytic upper bound.
	Goodput, Bound float64
	// Interactive is the goodput of the latency class alone.
	Interactive float64
	// Wasted is the fraction of prefill time whose KV cache was never used by a decode.
	Wasted float64
	// Worst is the smallest fraction of its entitlement that any workspace got, in prompt and output tokens, since rates
	// count tokens. WorstRequests is the same fraction, counted in requests.
	Worst, WorstRequests float64
	// Offered, Refused and Lost count requests; Wrongful counts refusals of workspaces within their rate.
	Offered, Refused, Lost, Wrongful int
	// FirstP95 is the 95th percentile of the latency class's time to the first token, in milliseconds.
	FirstP95 float64
	// ControlBytes is the mean traffic between hosts in bytes per second and host, reservations included.
	ControlBytes float64
	Shares       []float64
	// ByClass has four counts for each workspace: requests of the latency class that met their targets, all requests of
	// that class, and the same two for the wait class.
	ByClass [][4]int
	// Reasons counts refusals and losses by message; Metrics is the text of the placement metrics. Both are for
	// diagnosis only.
	Reasons map[string]int
	Metrics string
}

// outcome computes the measures from the time after the warm-up.
func (r *run) outcome() Outcome {
	c, window := r.c, (runLength - warmUp).Seconds()
	o := Outcome{Fleet: c.Fleet.Name, Policy: c.Policy, Load: c.Load, Fault: c.Fault, Seed: c.Seed, Reasons: map[string]int{}}
	good, goodTokens := make([]float64, len(Shares)), make([]float64, len(Shares))
	o.ByClass = make([][4]int, len(Shares))
	var firsts []float64
	for _, res := range r.results {
		if res.MeetsTargets() && res.Finished.Sub(r.start) >= warmUp {
			good[res.Job.Workspace]++
			goodTokens[res.Job.Workspace] += float64(res.Job.Prompt + res.Job.Output)
			if res.Job.Class == rules.ClassLatency {
				o.Interactive += 1 / window
			}
		}
		if res.Job.Arrived.Sub(r.start) >= warmUp {
			o.count(res)
			class := 0
			if res.Job.Class == rules.ClassWait {
				class = 2
			}
			o.ByClass[res.Job.Workspace][class+1]++
			if res.MeetsTargets() {
				o.ByClass[res.Job.Workspace][class]++
			}
			if res.First > 0 && res.Job.Class == rules.ClassLatency {
				firsts = append(firsts, float64(res.First)/float64(time.Millisecond))
			}
		}
	}
	o.Bound = r.bound()
	requests, tokens := r.entitlement()
	o.Worst, o.WorstRequests = math.Inf(1), math.Inf(1)
	for i, n := range good {
		o.Goodput += n / window
		o.Offered += r.offered[i]
		share := goodTokens[i] / window / tokens[i]
		o.Shares = append(o.Shares, share)
		o.Worst, o.WorstRequests = min(o.Worst, share), min(o.WorstRequests, n/window/requests[i])
	}
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	if r.sim.prefill > 0 {
		o.Wasted = max(0, 1-float64(r.sim.used+r.pendingPrefill())/float64(r.sim.prefill))
	}
	if slices.Sort(firsts); len(firsts) > 0 {
		o.FirstP95 = firsts[len(firsts)*95/100]
	}
	var text strings.Builder
	_, _ = r.metrics.WriteTo(&text)
	o.Metrics = text.String()
	_, bytes := r.net.Traffic()
	o.ControlBytes = float64(bytes) / float64(len(r.hosts)) / runLength.Seconds()
	return o
}

// count adds a request that was refused or lost.
func (o *Outcome) count(res Result) {
	if res.Refused {
		o.Refused++
		if res.Job.InRate {
			o.Wrongful++
		}
	}
	if res.Lost {
		o.Lost++
	}
	if res.Refused || res.Lost {
		o.Reasons[truncate(res.Reason)]++
	}
}

// pendingPrefill returns the prefill time of KV caches that had neither expired nor been imported when the run ended.
func (r *run) pendingPrefill() time.Duration {
	var sum time.Duration
	for _, x := range r.sim.exports {
		if x.expires.After(r.start.Add(runLength)) {
			sum += x.cost
		}
	}
	return sum
}

// truncate cuts a message to its first 28 bytes, which do not depend on the request, so that messages can be counted.
func truncate(s string) string { return s[:min(len(s), 28)] }

// entitlement returns the max-min fair share of each workspace in requests and in tokens per second, averaged over the
// time before and after the fault. During a partition each side serves its part of the demand with its own servers.
func (r *run) entitlement() (requests, tokens []float64) {
	f := &r.c.Fleet
	window := runLength - warmUp
	before := float64(faultAt-warmUp) / float64(window)
	requests, tokens = make([]float64, len(Shares)), make([]float64, len(Shares))
	// meanSize is the mean number of tokens of an offered request.
	meanSize, all := 0.0, 0.0
	for i, n := range r.offered {
		meanSize += r.tokens[i]
		all += float64(n)
	}
	meanSize /= all
	addSide := func(weight, part float64, prefill, decode int) {
		wantRequests, wantTokens := make([]float64, len(Shares)), make([]float64, len(Shares))
		for i, n := range r.offered {
			wantRequests[i] = float64(n) / window.Seconds() * part
			wantTokens[i] = r.tokens[i] / window.Seconds() * part
		}
		capacity := f.Capacity(prefill, decode)
		for i, x := range waterfill(wantRequests, capacity) {
			requests[i] += weight * x
		}
		for i, x := range waterfill(wantTokens, capacity*meanSize) {
			tokens[i] += weight * x
		}
	}
	prefill, decode := len(f.Prefill), len(f.Decode)
	switch r.c.Fault {
	case ServerLost:
		addSide(before, 1, prefill, decode)
		addSide(1-before, 1, prefill, decode-1)
	case ZonePartition:
		addSide(before, 1, prefill, decode)
		p, d, part := countIn(f.Prefill, f.PartitionedZone), countIn(f.Decode, f.PartitionedZone), 1/float64(len(f.Hosts))
		addSide(1-before, part, p, d)
		addSide(1-before, 1-part, prefill-p, decode-d)
	case NoFault, DaemonLost:
		addSide(1, 1, prefill, decode)
	}
	return requests, tokens
}

// bound returns the analytic upper bound of the goodput: all slots are in use all the time, and the shorter answers of
// the latency class, as far as offered, are served first. It exceeds the sum of the entitlements, which assume the
// offered mix of classes.
func (r *run) bound() float64 {
	f, window := &r.c.Fleet, runLength-warmUp
	offered := 0.0
	for _, n := range r.offered {
		offered += float64(n) / window.Seconds()
	}
	step := (stepBase + slots*stepPerStream).Seconds()
	side := func(part float64, prefill, decode int) float64 {
		if prefill == 0 {
			return 0
		}
		time := float64(decode * slots)
		short := min(part*offered*(1-f.WaitShare), time/(shortAnswer.mean()*step))
		time -= short * shortAnswer.mean() * step
		return short + min(part*offered*f.WaitShare, time/(longAnswer.mean()*step))
	}
	prefill, decode := len(f.Prefill), len(f.Decode)
	before := float64(faultAt-warmUp) / float64(window)
	healthy := side(1, prefill, decode)
	switch r.c.Fault {
	case ServerLost:
		return before*healthy + (1-before)*side(1, prefill, decode-1)
	case ZonePartition:
		p, d, part := countIn(f.Prefill, f.PartitionedZone), countIn(f.Decode, f.PartitionedZone), 1/float64(len(f.Hosts))
		return before*healthy + (1-before)*(side(part, p, d)+side(1-part, prefill-p, decode-d))
	default:
		return healthy
	}
}

func countIn(zones []string, zone string) int {
	n := 0
	for _, z := range zones {
		if z == zone {
			n++
		}
	}
	return n
}

// waterfill divides a capacity by weighted max-min fairness, with Shares as weights.
func waterfill(want []float64, capacity float64) []float64 {
	out := make([]float64, len(want))
	open := make([]int, len(want))
	for i := range open {
		open[i] = i
	}
	slices.SortFunc(open, func(a, b int) int {
		if want[a]/Shares[a] < want[b]/Shares[b] {
			return -1
		}
		return 1
	})
	weights := 0.0
	for _, s := range Shares {
		weights += s
	}
	for _, i := range open {
		out[i] = min(want[i], capacity*Shares[i]/weights)
		capacity -= out[i]
		weights -= Shares[i]
	}
	return out
}
