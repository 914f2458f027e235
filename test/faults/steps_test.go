package faults

import (
	"time"

	"github.com/boragecourse/boragecourse/test/fleet"
	"github.com/boragecourse/boragecourse/test/standin/service"
)

// faultOffset is the time from the start of a step to its fault: half of a step, which takes about 100 ms.
const faultOffset = 50 * time.Millisecond

// step is a point of the work at which faults are injected; run starts the work, waits for the point and injects the
// fault.
type step struct {
	name string
	run  func(*trial, fault)
}

func (t *trial) injectFault(f fault) {
	f.inject(t)
	t.pass(f.lasts)
}

func (t *trial) send(work func() *fleet.Call) func() {
	return func() { t.target = work() }
}

func (t *trial) request() *fleet.Call {
	return t.generate(t.serving, "guests", promptTokens, outputTokens)
}

// generationSteps are the points at which faults are injected into a generation request, from before its arrival to
// just after its end.
var generationSteps = []step{
	{"before arrival", func(t *trial, f fault) {
		f.inject(t)
		t.pass(faultOffset)
		t.target = t.request()
		t.mustComplete = f.always
		t.pass(f.lasts)
	}},
	{"waiting for a slot", func(t *trial, f fault) {
		for range 3 {
			for _, h := range t.All() {
				t.generate(h, "crew", 20, 100)
			}
		}
		t.pass(time.Second)
		t.target = t.request()
		t.pass(300 * time.Millisecond)
		t.check("step", t.executionsOf(t.target.ID).calls == 0 && !t.target.Returned(), "the request is not queued: %v", t.target.Result().Err)
		t.mustComplete = f.always
		t.injectFault(f)
	}},
	{"prefill", func(t *trial, f fault) { t.during("prefill", 1, f) }},
	{"KV transfer", func(t *trial, f fault) { t.during("transfer", 1, f) }},
	{"decode", func(t *trial, f fault) { t.during("decode", 5, f) }},
	{"just finished", func(t *trial, f fault) {
		t.target = t.request()
		<-t.target.Finished
		t.check("step", t.target.Result().Err == nil, "the request failed before the fault: %v", t.target.Result().Err)
		t.injectFault(f)
	}},
}

// during sends the request and injects the fault in the middle of the n-th step of the given name.
func (t *trial) during(name string, n int, f fault) {
	t.reach(name, n, t.send(t.request))
	time.Sleep(faultOffset)
	t.mustComplete = f.survives
	t.injectFault(f)
}

// bookingSteps are the steps of a booking with an idempotency key. The booking is repeated on another host while
// the fault lasts, and after it on both hosts.
var bookingSteps = []step{
	{"before the claim", func(t *trial, f fault) {
		f.inject(t)
		t.pass(faultOffset)
		t.target = t.submitBooking(t.serving)
		t.repeat(f)
	}},
	{"claim being written", func(t *trial, f fault) {
		t.slowClaims()
		t.reach("claim", 1, t.send(func() *fleet.Call { return t.submitBooking(t.serving) }))
		time.Sleep(faultOffset)
		f.inject(t)
		t.repeat(f)
	}},
	{"claim written", func(t *trial, f fault) {
		t.reach("claim written", 1, t.send(func() *fleet.Call { return t.submitBooking(t.serving) }))
		f.inject(t)
		t.repeat(f)
	}},
	{"dispatched", func(t *trial, f fault) {
		t.slowServices()
		t.reach("dispatched", 1, t.send(func() *fleet.Call { return t.submitBooking(t.serving) }))
		time.Sleep(faultOffset)
		f.inject(t)
		t.repeat(f)
	}},
	{"answered", func(t *trial, f fault) {
		t.target = t.submitBooking(t.serving)
		<-t.target.Finished
		f.inject(t)
		t.repeat(f)
	}},
	{"repeated on another host", func(t *trial, f fault) {
		t.slowServices()
		t.reach("dispatched", 1, t.send(func() *fleet.Call { return t.submitBooking(t.serving) }))
		t.repeats = append(t.repeats, t.submitBooking(t.other))
		time.Sleep(faultOffset)
		f.inject(t)
		t.repeat(f)
	}},
}

// repeat sends the booking again while the fault lasts.
func (t *trial) repeat(f fault) {
	t.pass(time.Second)
	t.repeats = append(t.repeats, t.submitBooking(t.other))
	t.pass(f.lasts)
}

// slowClaims delays the store calls of the serving host, so that a fault can be injected while a claim is written.
func (t *trial) slowClaims() {
	t.serving.Client.SetDelay(2 * faultOffset)
}

// slowServices delays the responses of services, so that a fault can be injected while a call runs.
func (t *trial) slowServices() {
	for _, s := range t.Services {
		s.SetFaults(service.Faults{Slow: 4 * faultOffset})
	}
}

// changeSteps are the steps of a configuration change that withdraws a key.
var changeSteps = []step{
	{"before the change", func(t *trial, f fault) {
		f.inject(t)
		t.pass(faultOffset)
		t.withdraw()
		t.pass(f.lasts)
	}},
	{"head being written", func(t *trial, f fault) {
		t.serving.Client.SetDelay(2 * faultOffset)
		t.reach("head", 1, t.withdraw)
		time.Sleep(faultOffset)
		t.injectFault(f)
	}},
	{"head swapped but not pushed", func(t *trial, f fault) {
		t.reach("head written", 1, t.withdraw)
		t.injectFault(f)
	}},
	{"in force on some hosts", func(t *trial, f fault) {
		// Pushes to other zones and the store calls of the hosts in zone b are delayed, so that hosts change at
		// different times.
		t.Net.SetDelay(func(from, to string) time.Duration {
			if from[0] != to[0] {
				return 400 * time.Millisecond
			}
			return time.Millisecond
		})
		for _, h := range t.InZone("b") {
			h.Client.SetDelay(400 * time.Millisecond)
		}
		before := t.serving.Config.Generation()
		t.withdraw()
		reached := false
		for range 40 {
			time.Sleep(5 * time.Millisecond)
			held := 0
			for _, h := range t.All() {
				if h.Config.Generation() > before {
					held++
				}
			}
			if reached = held > 0 && held < 5; reached {
				break
			}
		}
		t.check("step", reached, "there was no time at which the change was active on some of the hosts only")
		t.injectFault(f)
	}},
}

func (t *trial) withdraw() { t.change(t.serving, t.rules.Without("guests")) }
