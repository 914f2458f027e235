package command

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// action is the next step of the service for one server.
type action int

const (
	actNone action = iota
	// actClaim writes the ownership record.
	actClaim
	// actRelease deletes the ownership record, so that the next owner has to wait for commands in flight. actHandOver
	// replaces it by a record stating that no command is in flight, so that the next owner may start at once.
	actRelease
	actHandOver
	// actRead reads the engine's state and sends a command for the differences.
	actRead
)

// variant disables individual safety rules. Tests use it to verify that their checks detect a missing rule.
type variant struct {
	// noWait lets a new owner send a command at once to a server that does not check fencing tokens.
	noWait bool
	// noLeaseCheck skips the check of the lease immediately before the call.
	noLeaseCheck bool
}

// lease is this host's lease in the store. end is the time until which the host may rely on it.
type lease struct {
	held bool
	end  time.Time
}

func (l lease) valid(now time.Time) bool { return l.held && now.Before(l.end) }

// reconciler decides the next action for one server. It performs no I/O and receives the current time as an argument.
type reconciler struct {
	opt     Options
	variant variant

	rule *rules.Server
	home bool
	// fence is the fencing token: the revision of this host's ownership record, or zero while it is not the owner.
	// claiming is set while the store may contain an unconfirmed record of this host.
	fence    int64
	claiming bool
	// fenced is set when a command is refused because of its fencing token, until the record has a higher revision.
	fenced bool
	// slot is the key of the load slot that this server may hold in the store, or empty.
	slot string
	// takeoverEnd is the time by which every command of earlier owners has ended.
	takeoverEnd time.Time
	// inFlight is the last command sent, until it is known to have ended. At inFlightUntil it must have ended.
	inFlight      *engine.Command
	inFlightUntil time.Time
	// sent is set when a command is sent and cleared by the next read of the engine's state.
	sent     bool
	failures int
	next     time.Time
	busy     bool
}

// checksFencing reports whether the server's engine checks fencing tokens.
func (m *reconciler) checksFencing() bool { return m.rule.Fencing == rules.FencingChecked }

// setRule sets the rule and whether this host should own the server. A change resets the backoff.
func (m *reconciler) setRule(now time.Time, rule *rules.Server, home bool) {
	changed := m.rule == nil || m.rule.Role != rule.Role || m.rule.Model != rule.Model || m.home != home
	m.rule, m.home = rule, home
	if changed {
		m.next, m.failures = now, 0
	}
}

// step returns the action that is due at the given time.
func (m *reconciler) step(now time.Time, l lease) action {
	m.expire(now)
	switch {
	case m.busy || now.Before(m.next):
		return actNone
	case !m.home && (m.fence != 0 || m.claiming):
		return m.releaseAction(now)
	case !m.home || !l.valid(now):
		return actNone
	case m.fence == 0:
		return actClaim
	}
	return actRead
}

// releaseAction chooses how to give up the ownership. An owner may hand over only when none of its own commands is in
// flight and the takeover wait for earlier owners has passed.
func (m *reconciler) releaseAction(now time.Time) action {
	if m.fence != 0 && m.inFlight == nil && !now.Before(m.takeoverEnd) {
		return actHandOver
	}
	return actRelease
}

// idle reports whether the server needs no further action and no ownership or command remains.
func (m *reconciler) idle() bool {
	return !m.home && !m.busy && m.fence == 0 && !m.claiming && m.inFlight == nil
}

// expire clears the command in flight once the engine must have stopped executing it.
func (m *reconciler) expire(now time.Time) {
	if m.inFlight != nil && !now.Before(m.inFlightUntil) {
		m.inFlight = nil
	}
}

// becomeOwner records the ownership. handedOver means that no command of an earlier owner is in flight. Otherwise the
// previous owner may send commands until its lease expires, and the engine may execute the last one for the command
// limit.
func (m *reconciler) becomeOwner(now time.Time, fence int64, handedOver bool) {
	m.fence, m.claiming, m.fenced, m.next = fence, false, false, now
	if !handedOver && !m.variant.noWait {
		m.takeoverEnd = now.Add(m.opt.takeoverWait())
	}
}

// disown records that this host is not, or may not be, the owner.
func (m *reconciler) disown(now time.Time) { m.fence, m.next = 0, now.Add(m.opt.ClaimRetry) }

// observe evaluates a state that was read after the last command and returns the command that removes the differences
// from the rules, or nil. drifted reports that the last command has ended and the state still differs.
func (m *reconciler) observe(now time.Time, s engine.State) (cmd *engine.Command, drifted bool) {
	m.expire(now)
	m.next = now.Add(m.opt.ReadInterval)
	// Commands contain only differences, so a state that matches the command's fields shows that it took effect.
	if m.inFlight != nil && satisfies(s, *m.inFlight) {
		m.inFlight = nil
	}
	c := engine.Command{Fence: m.fence}
	if s.Role != string(m.rule.Role) {
		c.Role = string(m.rule.Role)
	}
	if s.Model != m.rule.Model {
		c.Model = m.rule.Model
	}
	differs := c.Role != "" || c.Model != ""
	drifted, m.sent = differs && m.sent && m.inFlight == nil, false
	switch {
	case !differs:
		m.failures = 0
		return nil, false
	case drifted:
		m.failures++
		m.next = now.Add(m.backoff())
		return nil, true
	case m.inFlight != nil || !m.checksFencing() && now.Before(m.takeoverEnd):
		m.next = now.Add(m.opt.Tick)
		return nil, false
	}
	return &c, false
}

// begin marks the command as in flight immediately before the call. It returns false when the ownership or the lease
// may have been lost.
func (m *reconciler) begin(now time.Time, l lease, cmd engine.Command) bool {
	if m.fence == 0 || m.fence != cmd.Fence {
		return false
	}
	if !l.valid(now) && !m.variant.noLeaseCheck {
		return false
	}
	m.inFlight, m.inFlightUntil, m.sent = &cmd, now.Add(m.opt.inFlightLimit()), true
	return true
}

// finish records the outcome of the call that sent the command. A response ends the command. Without a response the
// command stays in flight until the engine's state shows its effect or the in-flight limit has passed.
func (m *reconciler) finish(now time.Time, o outcome) {
	m.next = now
	switch o {
	case outcomeDone:
		m.inFlight = nil
	case outcomeNotRun, outcomeFenced:
		m.inFlight, m.sent = nil, false
		if o == outcomeFenced {
			m.fence, m.claiming, m.fenced = 0, true, true
		}
		m.failures++
		m.next = now.Add(m.backoff())
	case outcomeUnknown:
	}
}

// maxDoublings keeps the shift in backoff from overflowing.
const maxDoublings = 10

func (m *reconciler) backoff() time.Duration {
	return min(m.opt.MinBackoff<<min(max(m.failures-1, 0), maxDoublings), m.opt.MaxBackoff)
}

// satisfies reports whether the state has the role and model that the command sets.
func satisfies(s engine.State, c engine.Command) bool {
	return (c.Role == "" || c.Role == s.Role) && (c.Model == "" || c.Model == s.Model)
}
