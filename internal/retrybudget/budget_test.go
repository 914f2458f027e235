package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/retrybudget"
)

// longAgo is a process start before every window of the tests.
var longAgo = time.Unix(-1000, 0)

var limits = fleet.RetryLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 56}

// Guards against hosts that together retry more than the shared budget allows when every send fails.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
	g := NewWithT(t)
	const hosts = 4
	start := time.Unix(0, 0)
	var retries []time.Time
	requests := 0
	budgets := make([]*retrybudget.Budget, hosts)
	for i := range budgets {
		budgets[i] = retrybudget.New(limits, longAgo, start)
	}
	for at := time.Duration(0); at < time.Minute; at += 25 * time.Millisecond {
		b := budgets[int(at/(25*time.Millisecond))%hosts]
		b.RecordRequest(start.Add(at))
		requests++
		for b.AllowRetry(start.Add(at), hosts, 1) {
			retries = append(retries, start.Add(at))
		}
	}
	first, worst := 0, 0
	for last, at := range retries {
		for at.Sub(retries[first]) > limits.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	perWindow := float64(requests) * limits.Window.Seconds() / 60
	g.Expect(float64(worst)).To(BeNumerically("<=", limits.Ratio*perWindow+float64(limits.Minimum)))
	g.Expect(len(retries)).To(BeNumerically(">", 100))
}

// Guards against a budget that does not recover after the window, or that recovers again when an earlier time follows a
// long gap.
func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(limits, longAgo, start)
	spend := func(at time.Time) (n int) {
		for b.AllowRetry(at, 1, 1) {
			n++
		}
		return n
	}
	g.Expect(spend(start)).To(Equal(limits.Minimum))
	g.Expect(spend(start.Add(9 * time.Second))).To(BeZero())
	g.Expect(spend(start.Add(time.Hour))).To(Equal(limits.Minimum))
	g.Expect(b.AllowRetry(start, 1, 1)).To(BeFalse(), "time before the previous call")
}

// Guards against the remaining hosts using the share of a host that left while it may have used that share within the
// same window.
func TestShareOfLeavingHostIsNotReusedWithinTheWindow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(limits, longAgo, start)
	spend := func(at time.Time, hosts int) (n int) {
		for b.AllowRetry(at, hosts, 1) {
			n++
		}
		return n
	}
	g.Expect(spend(start, 4)).To(Equal(limits.Minimum / 4))
	g.Expect(spend(start.Add(5*time.Second), 1)).To(BeZero())
	g.Expect(spend(start.Add(12*time.Second), 1)).To(Equal(limits.Minimum))
}

// Guards against a new process that uses a share which the previous process on the same host may have used within the
// same window.
func TestNewProcessDoesNotReuseThePreviousShare(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(limits, start, start.Add(time.Second))
	for range 10 {
		b.RecordRequest(start.Add(2 * time.Second))
	}
	g.Expect(b.AllowRetry(start.Add(3*time.Second), 4, 1)).To(BeTrue(), "within the ratio of its own requests")
	g.Expect(b.AllowRetry(start.Add(3*time.Second), 4, 1)).To(BeTrue())
	g.Expect(b.AllowRetry(start.Add(3*time.Second), 4, 1)).To(BeFalse())
	g.Expect(b.AllowRetry(start.Add(11*time.Second), 4, 1)).To(BeTrue())
}

// Guards against allowing a retry of several sends when the budget covers only some of them.
func TestSeveralSendsAreAllowedTogetherOrNotAtAll(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	b := retrybudget.New(fleet.RetryLimits{Window: 10 * time.Second, Minimum: 3}, longAgo, now)
	g.Expect(b.AllowRetry(now, 1, 2)).To(BeTrue())
	g.Expect(b.AllowRetry(now, 1, 2)).To(BeFalse())
	g.Expect(b.AllowRetry(now, 1, 1)).To(BeTrue())
}

// Guards against a refund that gives back more than was charged once the charge has left the window.
func TestRefundsEndWithTheirCharge(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(fleet.RetryLimits{Window: 10 * time.Second, Minimum: 2}, longAgo, start)
	b.Charge(start, 3)
	g.Expect(b.Available(start, 1, 1)).To(BeFalse())
	b.Refund(start, start.Add(2*time.Second), 2)
	g.Expect(b.AllowRetry(start.Add(2*time.Second), 1, 1)).To(BeTrue())
	b.Refund(start, start.Add(time.Minute), 1)
	g.Expect(b.Available(start.Add(time.Minute), 1, 2)).To(BeTrue())
	g.Expect(b.Available(start.Add(time.Minute), 1, 3)).To(BeFalse())
}

// Guards against exceeding the budget when retries are sent seconds after they were allowed and coincide with newer
// ones.
func TestRetriesCountWhenTheyAreSent(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	b := retrybudget.New(limits, longAgo, start)
	g.Expect(b.AllowRetry(start, 1, limits.Minimum)).To(BeTrue())
	b.RecordSend(start, start.Add(8*time.Second), limits.Minimum)
	g.Expect(b.AllowRetry(start.Add(12*time.Second), 1, 1)).To(BeFalse())
	g.Expect(b.AllowRetry(start.Add(20*time.Second), 1, limits.Minimum)).To(BeTrue())
	b.RecordSend(start.Add(20*time.Second), start.Add(40*time.Second), limits.Minimum)
	g.Expect(b.AllowRetry(start.Add(45*time.Second), 1, 1)).To(BeFalse())
}
