package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a preview that differs from the decision or takes tokens, also while another host is unreachable.
func TestPreviewMatchesAdmit(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	l, plain := newLimiter(now), newLimiter(now)
	l.ApplyReport("other", nil, false, now)
	plain.ApplyReport("other", nil, false, now)
	l.MarkUnreachable("other", now)
	plain.MarkUnreachable("other", now)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		level, ok, until := l.Preview("w", cost, now)
		admitted, after := l.Admit("w", cost, now)
		unseen, _ := plain.Admit("w", cost, now)
		g.Expect([]any{ok, until.Round(time.Microsecond)}).To(Equal([]any{admitted, after.Round(time.Microsecond)}))
		g.Expect(admitted).To(Equal(unseen))
		g.Expect(level >= cost).To(Equal(ok))
	}
}
