package quota

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// arrival sends a request to a host. Some requests are for any amount up to the full burst.
func (sim *simulation) arrival() {
	peak := slices.ContainsFunc(sim.peaks, func(t time.Duration) bool { return t <= sim.now && sim.now < t+peakLength })
	if peak {
		sim.after(sim.upTo(2*time.Millisecond), sim.arrival)
	} else {
		sim.after(sim.upTo(sim.arrivalEvery), sim.arrival)
	}
	if sim.now < sim.idleUntil {
		return
	}
	h := sim.hosts[sim.r.IntN(len(sim.hosts))]
	tokens := 1 + sim.r.Int64N(60)
	if peak {
		// Small requests use up the tokens that are scattered over the hosts.
		tokens = 1 + sim.r.Int64N(20)
	}
	if sim.chance(sim.largePercent) || peak && sim.chance(20) {
		tokens = 1 + sim.r.Int64N(exploreBurst)
	}
	sim.on(h, 0, func(now time.Time) { sim.request(h, now, tokens, 0) })
}

// request admits the tokens, or draws from the home host of its zone and then of the other zones, and tries again.
func (sim *simulation) request(h *simHost, now time.Time, tokens int64, step int) {
	if h.fenced || sim.admit(h, now, tokens) || step == 2 {
		return
	}
	for _, zone := range []string{"za", "zb", "zc"} {
		home, ok := h.epoch.Home(zone, "ws")
		if ok && home.Name != h.id.Name && (zone == h.id.Zone) == (step == 0) {
			sim.draw(h, now, sim.find(home), tokens)
		}
	}
	sim.on(h, 15*time.Millisecond, func(now time.Time) { sim.request(h, now, tokens, step+1) })
}

func (sim *simulation) draw(h *simHost, sent time.Time, lender *simHost, need int64) {
	want := h.node.Want(sent, "ws", need)
	sim.send(lender, func(now time.Time) {
		if lender.fenced {
			return
		}
		reply := lender.node.Draw(now, "ws", need, want)
		id, first := lender.id, true
		sim.send(h, func(now time.Time) {
			// The RPC layer drops a second copy of a reply.
			if !first {
				return
			}
			first = false
			h.node.AddGrant(now, sent, "ws", id, reply)
		})
	})
}

// admit records an admission. Its tokens are used in two steps until the request ends.
func (sim *simulation) admit(h *simHost, now time.Time, tokens int64) bool {
	a, _ := h.node.Admit(now, "ws", tokens)
	if a == nil {
		return false
	}
	record := &simAdmission{at: sim.now, reserved: tokens}
	sim.admitted = append(sim.admitted, record)
	final := tokens
	if !sim.chance(sim.fullPercent) || sim.faultsOnLastHost && h == sim.hosts[len(sim.hosts)-1] {
		final = sim.r.Int64N(tokens*sim.usePercent/100 + 1)
	}
	length := sim.upTo(2 * time.Second)
	if sim.chance(sim.longPercent) {
		length = sim.upTo(40 * time.Second)
	}
	sim.on(h, length/2, func(time.Time) {
		record.used = final / 2
		a.Use(final / 2)
	})
	sim.on(h, length, func(now time.Time) {
		a.Use(final - record.used)
		record.used, record.settled = final, true
		a.Close(now)
	})
	return true
}

// faultKinds is the number of kinds of fault in injectFault.
const faultKinds = 6

// scheduleFaults injects faults at random intervals.
func (sim *simulation) scheduleFaults() {
	sim.after(sim.upTo(2*sim.faultEvery), sim.scheduleFaults)
	sim.injectFault()
}

func (sim *simulation) injectFault() {
	if len(sim.faults) == 0 {
		return
	}
	h := sim.hosts[sim.r.IntN(len(sim.hosts))]
	if home, ok := sim.epoch.Home("za", "ws"); ok && sim.chance(60) {
		h = sim.find(home)
	}
	if sim.faultsOnLastHost {
		h = sim.hosts[len(sim.hosts)-1]
	}
	switch pick(sim.r, sim.faults...) {
	case 0: // The host pauses.
		h.paused = sim.now + sim.upTo(sim.maxPause)
		if sim.maxPause > EntryTTL {
			h.paused = sim.nextPeak(sim.now+sim.maxPause) + sim.upTo(peakLength)
		}
	case 1: // The host crashes. It is excluded after a delay and restarted.
		h.alive = false
		sim.after(sim.upTo(pick(sim.r, 0, 3*time.Second)), func() { sim.exclude(h) })
		sim.after(sim.upTo(10*time.Second), func() { sim.restart(h) })
	case 2: // The host loses its authority and joins again later.
		sim.exclude(h)
		sim.after(sim.upTo(5*time.Second), func() { sim.join(h) })
	case 3: // The zones get new weights.
		sim.reconfigure()
	case 5: // The host drains, leaves, hands its buckets over and exits.
		sim.on(h, 0, func(now time.Time) {
			h.fenced = true
			h.node.Leave(now)
			sim.exclude(h)
			sim.after(sim.upTo(2*time.Second), func() { h.alive = false })
			sim.after(2*time.Second+sim.upTo(5*time.Second), func() { sim.restart(h) })
		})
	case 4: // The host is excluded and joins again within 200 ms.
		sim.exclude(h)
		sim.after(sim.upTo(200*time.Millisecond), func() { sim.join(h) })
	}
}

func (sim *simulation) exclude(h *simHost) {
	rest := slices.DeleteFunc(slices.Clone(sim.epoch.Hosts), func(id host.ID) bool { return id.Name == h.id.Name })
	if len(rest) > 0 && len(rest) < len(sim.epoch.Hosts) {
		sim.newEpoch(rest)
	}
}

func (sim *simulation) restart(h *simHost) {
	if h.alive {
		return
	}
	sim.exclude(h)
	sim.boot(h)
	sim.join(h)
}

func (sim *simulation) join(h *simHost) {
	if h.alive && !h.node.leaving && !sim.epoch.Contains(h.id) {
		sim.newEpoch(append(slices.Clone(sim.epoch.Hosts), h.id))
	}
}
