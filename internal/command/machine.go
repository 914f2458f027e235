package command

import (
	"time"

	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// action is what the service does next for one server.
type action int

const (
	actNone action = iota
	// actClaim takes the ownership record.
	actClaim
	// actRelease gives the record up without an announcement, so that the next owner waits; actHandOver announces
	// that no command is open, so that the next owner may start at once.
	actRelease
	actHandOver
	// actRead reads the engine's state and commands the differences.
	actRead
)

// variant switches single rules off. Tests use it to show that the checks catch a missing rule.
type variant struct {
	// noWait lets a new owner command an unchecked server at once.
	noWait bool
	// noLeaseCheck skips the check of the lease right before the call.
	noLeaseCheck bool
}

// lease is this host's lease in the store, with the end that the host counts on.
type lease struct {
	held bool
	end  time.Time
}

func (l lease) valid(now time.Time) bool { return l.held && now.Before(l.end) }

// machine decides for one server. It does no I/O and reads no clock.
type machine struct {
	opt     Options
	variant variant

	rule *rules.Server
	home bool
	// fence is the revision of this host's ownership record, zero while it is not the owner. claiming is set while
	// the store may hold a record of this host that is not confirmed.
	fence    int64
	claiming bool
	// fenced is set from a refusal by fencing number until the record has a higher revision.
	fenced bool
	// slot is the key of the load slot that the store may hold for this server.
	slot string
	// quietUntil is when every command of earlier owners has ended.
	quietUntil time.Time
	// open is the last command until it is known to have ended; openUntil bounds it.
	open      *engine.Command
	openUntil time.Time
	// sent is set from a command to the next state that was read.
	sent     bool
	failures int
	next     time.Time
	busy     bool
}

func (m *machine) checked() bool { return m.rule.Fencing == rules.FencingChecked }

// declare sets the rule and whether this host is the server's home host.
func (m *machine) declare(now time.Time, rule *rules.Server, home bool) {
	changed := m.rule == nil || m.rule.Role != rule.Role || m.rule.Model != rule.Model || m.home != home
	m.rule, m.home = rule, home
	if changed {
		m.next, m.failures = now, 0
	}
}

// step returns what to do at the given time.
func (m *machine) step(now time.Time, l lease) action {
	m.expire(now)
	switch {
	case m.busy || now.Before(m.next):
		return actNone
	case !m.home && (m.fence != 0 || m.claiming):
		return m.leave(now)
	case !m.home || !l.valid(now):
		return actNone
	case m.fence == 0:
		return actClaim
	}
	return actRead
}

// leave keeps the ownership of an unchecked server while a command may be open. Only an owner that has itself waited
// out its predecessors may announce that no command is open.
func (m *machine) leave(now time.Time) action {
	switch {
	case m.open != nil && !m.checked():
		return actNone
	case m.fence != 0 && m.open == nil && !now.Before(m.quietUntil):
		return actHandOver
	}
	return actRelease
}

// idle reports whether nothing is left to end or to do for the server.
func (m *machine) idle() bool {
	return !m.home && !m.busy && m.fence == 0 && !m.claiming && m.open == nil
}

// expire closes a command that no engine works on any more.
func (m *machine) expire(now time.Time) {
	if m.open != nil && !now.Before(m.openUntil) {
		m.open = nil
	}
}

// claimed notes the ownership. With quiet the previous owner announced that no command is open; otherwise it may send
// until its lease has lapsed, and the engine may work on its last command for the command limit.
func (m *machine) claimed(now time.Time, fence int64, quiet bool) {
	m.fence, m.claiming, m.fenced, m.next = fence, false, false, now
	if !quiet && !m.variant.noWait {
		m.quietUntil = now.Add(m.opt.takeoverWait())
	}
}

// disown notes that this host is not, or not certainly, the owner.
func (m *machine) disown(now time.Time) { m.fence, m.next = 0, now.Add(m.opt.ClaimRetry) }

// observe takes a state that was read after the last command and returns the command that removes the differences,
// or nil. drifted reports that a command was answered and the state differs all the same.
func (m *machine) observe(now time.Time, s engine.State) (cmd *engine.Command, drifted bool) {
	m.expire(now)
	m.next = now.Add(m.opt.ReadInterval)
	// Commands hold only differences, so a state with the command's fields shows that the command took effect.
	if m.open != nil && serves(s, *m.open) {
		m.open = nil
	}
	c := engine.Command{Fence: m.fence}
	if s.Role != string(m.rule.Role) {
		c.Role = string(m.rule.Role)
	}
	if s.Model != m.rule.Model {
		c.Model = m.rule.Model
	}
	differs := c.Role != "" || c.Model != ""
	drifted, m.sent = differs && m.sent && m.open == nil, false
	switch {
	case !differs:
		m.failures = 0
		return nil, false
	case drifted:
		m.failures++
		m.next = now.Add(m.backoff())
		return nil, true
	case m.open != nil || !m.checked() && now.Before(m.quietUntil):
		m.next = now.Add(m.opt.Tick)
		return nil, false
	}
	return &c, false
}

// begin is asked right before the call and opens the command. It refuses when the ownership or the lease may be gone.
func (m *machine) begin(now time.Time, l lease, cmd engine.Command) bool {
	if m.open != nil || !m.home || m.fence == 0 || m.fence != cmd.Fence {
		return false
	}
	if !l.valid(now) && !m.variant.noLeaseCheck {
		return false
	}
	m.open, m.openUntil, m.sent = &cmd, now.Add(m.opt.commandEnd()), true
	return true
}

// answered takes the outcome of a command. An answer closes it; without one it stays open until a state shows its
// effect or no engine can work on it any more.
func (m *machine) answered(now time.Time, o outcome) {
	m.next = now
	switch o {
	case outcomeDone:
		m.open = nil
	case outcomeNotRun, outcomeFenced:
		m.open, m.sent = nil, false
		if o == outcomeFenced {
			m.fence, m.claiming, m.fenced = 0, true, true
		}
		m.failures++
		m.next = now.Add(m.backoff())
	case outcomeUnknown:
	}
}

// maxDoublings keeps the shift of the backoff in range.
const maxDoublings = 10

func (m *machine) backoff() time.Duration {
	return min(m.opt.MinBackoff<<min(max(m.failures-1, 0), maxDoublings), m.opt.MaxBackoff)
}

// serves reports whether the state has what the command asks for.
func serves(s engine.State, c engine.Command) bool {
	return (c.Role == "" || c.Role == s.Role) && (c.Model == "" || c.Model == s.Model)
}
