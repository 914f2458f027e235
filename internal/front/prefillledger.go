package front

import (
	"context"
	"errors"
	"time"

	"github.com/boragecourse/boragecourse/platform"
)

// prefillLedger charges the prefills of one attempt to the retry budget of their service. The first prefill that an engine accepts is
// no retry, but each refused one makes the next send a retry: another prefill, or the decode.
type prefillLedger struct {
	group *group
	hosts int
	// repeated is set if an earlier prefill of the request may have been accepted, so that each further one is a retry.
	repeated bool
	calls    int
	// prepaid is the number of charges for refusals that have not happened, chargedAt the time of the last one.
	prepaid   int
	chargedAt time.Time
}

// first reports whether no engine has got the prompt yet.
func (l *prefillLedger) first() bool { return !l.repeated && l.calls == 0 }

// allow reports whether a prefill may be sent to an engine. It charges a retry, which a refusal would make of the next send, unless the
// prefill is the first one and the engine is expected to accept it.
func (l *prefillLedger) allow(key string) bool {
	if l.first() && !l.group.prefillDoubtful(key) {
		return true
	}
	if !l.group.mayRetry(l.hosts) {
		return false
	}
	if !l.repeated {
		l.prepaid++
		l.chargedAt = l.group.now()
	}
	return true
}

// record takes the outcome of a prefill that was allowed, unless the request has ended meanwhile. An engine that was silent may have
// accepted it. One that has ended the connection is taken for one that refused: if it had accepted the prefill, the next one would be the
// retry.
func (l *prefillLedger) record(ctx context.Context, key string, err error) {
	if ctx.Err() != nil {
		return
	}
	var notRun *platform.NotRunError
	var stalled *StalledError
	if !neverSent(err) {
		l.calls++
	}
	switch {
	case err == nil:
		l.group.recordPrefill(key, false)
	case errors.As(err, &stalled):
		l.refund()
		l.repeated = true
	case errors.As(err, &notRun) && notRun.Status == 0:
	default:
		l.group.recordPrefill(key, true)
		l.chargeRefusal()
	}
}

func (l *prefillLedger) chargeRefusal() {
	switch {
	case l.repeated:
	case l.prepaid > 0:
		l.prepaid--
	default:
		l.group.chargeRetry()
	}
}

// refund returns to the budget what was charged for refusals that have not happened.
func (l *prefillLedger) refund() {
	if l.prepaid > 0 {
		l.group.refundRetries(l.chargedAt, l.prepaid)
	}
	l.prepaid = 0
}
