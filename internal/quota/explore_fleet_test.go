package quota

import (
	"slices"
	"time"

	"github.com/boragecourse/boragecourse/internal/host"
)

// arrival sends a request to a host; a few are as large as a zone's share or the burst.
func (w *world) arrival() {
	rush := slices.ContainsFunc(w.rushes, func(t time.Duration) bool { return t <= w.now && w.now < t+rushLength })
	if rush {
		w.after(w.upTo(2*time.Millisecond), w.arrival)
	} else {
		w.after(w.upTo(w.arrivalEvery), w.arrival)
	}
	if w.now < w.quietUntil {
		return
	}
	h := w.hosts[w.r.IntN(len(w.hosts))]
	tokens := 1 + w.r.Int64N(60)
	if rush {
		// Small requests use up what is scattered over the hosts.
		tokens = 1 + w.r.Int64N(20)
	}
	if w.chance(w.largePercent) || rush && w.chance(20) {
		tokens = 1 + w.r.Int64N(exploreBurst)
	}
	w.on(h, 0, func(now time.Time) { w.request(h, now, tokens, 0) })
}

// request admits, or draws from the zone's home host, then from the other zones, and tries again.
func (w *world) request(h *simHost, now time.Time, tokens int64, step int) {
	if h.fenced || w.admit(h, now, tokens) || step == 2 {
		return
	}
	for _, zone := range []string{"za", "zb", "zc"} {
		home, ok := h.epoch.Home(zone, "ws")
		if ok && home.Name != h.id.Name && (zone == h.id.Zone) == (step == 0) {
			w.draw(h, now, w.find(home), tokens)
		}
	}
	w.on(h, 15*time.Millisecond, func(now time.Time) { w.request(h, now, tokens, step+1) })
}

func (w *world) draw(h *simHost, sent time.Time, lender *simHost, need int64) {
	want := h.node.Want(sent, "ws", need)
	w.send(lender, func(now time.Time) {
		if lender.fenced {
			return
		}
		answer := lender.node.Draw(now, "ws", need, want)
		id, first := lender.id, true
		w.send(h, func(now time.Time) {
			// The rpc layer drops a second copy of an answer.
			if !first {
				return
			}
			first = false
			h.node.Granted(now, sent, "ws", id, answer)
		})
	})
}

// admit records an admission, whose tokens are used in steps until it ends.
func (w *world) admit(h *simHost, now time.Time, tokens int64) bool {
	a, _ := h.node.Admit(now, "ws", tokens)
	if a == nil {
		return false
	}
	record := &simAdmission{at: w.now, reserved: tokens}
	w.admitted = append(w.admitted, record)
	final := tokens
	if !w.chance(w.fullPercent) || w.onlyLast && h == w.hosts[len(w.hosts)-1] {
		final = w.r.Int64N(tokens*w.usePercent/100 + 1)
	}
	length := w.upTo(2 * time.Second)
	if w.chance(w.longPercent) {
		length = w.upTo(40 * time.Second)
	}
	w.on(h, length/2, func(time.Time) {
		record.used = final / 2
		a.Use(final / 2)
	})
	w.on(h, length, func(now time.Time) {
		a.Use(final - record.used)
		record.used, record.settled = final, true
		a.Close(now)
	})
	return true
}

// faultKinds is the number of cases of fault.
const faultKinds = 6

// fault changes the fleet or the configuration.
func (w *world) fault() {
	w.after(w.upTo(2*w.faultEvery), w.fault)
	w.strike()
}

func (w *world) strike() {
	if len(w.faults) == 0 {
		return
	}
	h := w.hosts[w.r.IntN(len(w.hosts))]
	if home, ok := w.epoch.Home("za", "ws"); ok && w.chance(60) {
		h = w.find(home)
	}
	if w.onlyLast {
		h = w.hosts[len(w.hosts)-1]
	}
	switch pick(w.r, w.faults...) {
	case 0:
		h.paused = w.now + w.upTo(w.pause)
		if w.pause > EntryTTL {
			h.paused = w.nextRush(w.now+w.pause) + w.upTo(rushLength)
		}
	case 1: // The host dies; its successor or the loss is known after a while.
		h.alive = false
		w.after(w.upTo(pick(w.r, 0, 3*time.Second)), func() { w.exclude(h) })
		w.after(w.upTo(10*time.Second), func() { w.restart(h) })
	case 2: // The host has lost its authority and comes back later.
		w.exclude(h)
		w.after(w.upTo(5*time.Second), func() { w.join(h) })
	case 3:
		w.reconfigure()
	case 5: // The host drains, leaves, hands its buckets over and ends.
		w.on(h, 0, func(now time.Time) {
			h.fenced = true
			h.node.Leave(now)
			w.exclude(h)
			w.after(w.upTo(2*time.Second), func() { h.alive = false })
			w.after(2*time.Second+w.upTo(5*time.Second), func() { w.restart(h) })
		})
	case 4:
		w.exclude(h)
		w.after(w.upTo(200*time.Millisecond), func() { w.join(h) })
	}
}

func (w *world) exclude(h *simHost) {
	rest := slices.DeleteFunc(slices.Clone(w.epoch.Hosts), func(id host.ID) bool { return id.Name == h.id.Name })
	if len(rest) > 0 && len(rest) < len(w.epoch.Hosts) {
		w.newEpoch(rest)
	}
}

func (w *world) restart(h *simHost) {
	if h.alive {
		return
	}
	w.exclude(h)
	w.boot(h)
	w.join(h)
}

func (w *world) join(h *simHost) {
	if h.alive && !h.node.leaving && !w.epoch.Contains(h.id) {
		w.newEpoch(append(slices.Clone(w.epoch.Hosts), h.id))
	}
}
