package bytebudget_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/bytebudget"
)

// memory is that of a small host. Its budget is a quarter, with the memory of the requests two fifths.
const (
	memory = 120 << 20
	limit  = memory / 4
	total  = memory * 2 / 5
)

// Guards against a host whose memory grows with the number of callers that do not read, and against callers that read and
// get nothing because others have used the budget up.
func TestManySlowCallersStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit, total)
	rng := rand.New(rand.NewPCG(1, 2))
	var slow []*bytebudget.Account
	// 2,000 callers come in groups. They read nothing, and their engines send events of different sizes in no order.
	for range 20 {
		for range 100 {
			if a, ok := budget.Open(500); ok {
				slow = append(slow, a)
			}
		}
		for range 50_000 {
			_ = slow[rng.IntN(len(slow))].Hold(1 + rng.Int64N(2000))
			held := budget.Held()
			if held > limit || held+int64(len(slow))*bytebudget.RequestMemory > total {
				t.Fatalf("%d bytes held by %d requests", held, len(slow))
			}
		}
		if len(slow) == 300 {
			g.Expect(budget.Held()).To(BeNumerically(">", limit*7/10), "slow callers must be able to use their part")
			expectReadersServed(g, budget, 100)
		}
	}
	t.Logf("%d of 2,000 callers were taken, %d bytes held", len(slow), budget.Held())
	g.Expect(len(slow)).To(BeNumerically(">", 400))
	for _, a := range slow {
		a.Close()
		a.Close()
	}
	g.Expect(budget.Held()).To(BeZero())
}

// expectReadersServed checks that callers who read get their responses, n of them at a time.
func expectReadersServed(g *WithT, budget *bytebudget.Budget, n int) {
	var readers []*bytebudget.Account
	for range n {
		a, ok := budget.Open(500)
		g.Expect(ok).To(BeTrue())
		g.Expect(a.Hold(bytebudget.Floor)).To(BeTrue())
		readers = append(readers, a)
	}
	for _, a := range readers {
		a.Close()
	}
}

// Guards against a share that is too small for a response of usual size where nobody else is slow, and one that lets the first
// caller take the budget.
func TestShareOfOneSlowCaller(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit, total)
	a, _ := budget.Open(0)
	held := int64(0)
	for a.Hold(1000) {
		held += 1000
	}
	g.Expect(held).To(BeNumerically("~", limit/12, limit/50))
	a.Release(held / 2)
	g.Expect(budget.Held()).To(BeNumerically("~", held/2, 2*bytebudget.Floor))
}

// Guards against request bodies that use up the budget, and against a refusal on an idle host.
func TestRequestBodies(t *testing.T) {
	g := NewWithT(t)
	budget := bytebudget.New(limit, total)
	var accounts []*bytebudget.Account
	for {
		a, ok := budget.Open(0)
		g.Expect(ok).To(BeTrue())
		accounts = append(accounts, a)
		if !a.FitsRequest(4 << 20) {
			break
		}
		g.Expect(a.HoldRequest(4 << 20)).To(BeTrue())
	}
	g.Expect(len(accounts)).To(BeNumerically(">=", 6))
	g.Expect(budget.Held()).To(BeNumerically("<", limit*9/10))
	g.Expect(accounts[0].HoldRequest(limit)).To(BeFalse())
	for _, a := range accounts {
		a.Close()
	}
	g.Expect(budget.Held()).To(BeZero())
	var none *bytebudget.Account
	g.Expect(none.HoldRequest(limit) && none.Hold(limit) && none.FitsRequest(limit)).To(BeTrue())
}

// Guards against a backend server that gets more bytes than the bound, or none at all because one request exceeds it.
func TestOutstandingAtOneServer(t *testing.T) {
	g := NewWithT(t)
	o := bytebudget.NewOutstanding()
	g.Expect(o.Add("a", 1500, 1000)).To(BeTrue())
	g.Expect(o.Add("a", 1, 1000)).To(BeFalse())
	g.Expect(o.Add("b", 600, 1000)).To(BeTrue())
	g.Expect(o.Add("b", 500, 1000)).To(BeFalse())
	g.Expect(o.Most()).To(BeEquivalentTo(1500))
	o.Remove("a", 1500)
	g.Expect(o.Add("a", 400, 1000)).To(BeTrue())
	g.Expect(o.Most()).To(BeEquivalentTo(600))
}
