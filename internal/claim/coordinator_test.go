package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/test/standin/memstore"
)

// withFleet runs f with a fleet of hosts in a synctest bubble, whose clock is simulated.
func withFleet(t *testing.T, cfg Config, hosts int, f func(g Gomega, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f(NewWithT(t), newFleet(ctx, cfg, hosts, 1))
	})
}

func (f *fleet) claim(i int, key, attempt string) (Ticket, *Response, error) {
	return f.host(i).coord.Claim(f.ctx, call(key, attempt))
}

// mustClaim claims the key and marks its call as dispatched.
func (f *fleet) mustClaim(g Gomega, i int, key, attempt string) Ticket {
	ticket, answer, err := f.claim(i, key, attempt)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(BeNil())
	g.Expect(ticket.Dispatching()).To(Succeed())
	return ticket
}

func (f *fleet) records(g Gomega) []kvstore.KeyValue {
	kvs, err := f.store.Client().List(f.ctx, keyPrefix)
	g.Expect(err).NotTo(HaveOccurred())
	return kvs
}

// expectError fails the test unless err is of type E and has the given outcome.
func expectError[E interface {
	error
	Outcome() outcome.Outcome
}](g Gomega, err error, want outcome.Outcome) {
	var e E
	g.Expect(errors.As(err, &e)).To(BeTrue(), "got %T %v", err, err)
	g.Expect(e.Outcome()).To(Equal(want))
}

// Guards against a lost store response after which a host treats its own claim as another attempt's, or dispatches
// without knowing whether its claim was written.
func TestLostStoreResponseIsResolvedOrGivenUp(t *testing.T) {
	withFleet(t, Config{}, 2, func(g Gomega, f *fleet) {
		f.host(0).store.LoseResponses(2)
		f.mustClaim(g, 0, "resolved", "a")
		g.Expect(f.records(g)).To(HaveLen(1))

		f.host(0).store.LoseResponses(1000)
		_, _, err := f.claim(0, "unresolved", "b")
		expectError[*UnavailableError](g, err, outcome.NotRun)
		g.Expect(f.records(g)).To(HaveLen(2))
		f.mustClaim(g, 1, "unresolved", "c")
		g.Expect(f.m.Count("claim_takeovers_total")).To(Equal(int64(1)))
	})
}

// Guards against a dispatch without a claim while the store is unreachable.
func TestStoreOutageRefusesAsNotRun(t *testing.T) {
	withFleet(t, Config{}, 1, func(g Gomega, f *fleet) {
		f.host(0).store.SetDown(true)
		ticket, _, err := f.claim(0, "k", "a")
		g.Expect(ticket).To(BeNil())
		expectError[*UnavailableError](g, err, outcome.NotRun)
		f.host(0).store.SetDown(false)
		f.mustClaim(g, 0, "k", "b")
	})
}

// Guards against one store transaction per claim, and against a conflict of one claim that fails the other claims of
// its transaction.
func TestConcurrentClaimsShareTransactions(t *testing.T) {
	withFleet(t, Config{}, 2, func(g Gomega, f *fleet) {
		for i := range 10 {
			g.Expect(f.mustClaim(g, 1, fmt.Sprintf("k%d", i*30), "first").Done(f.ctx, Response{Status: 201})).To(Succeed())
		}
		_, before := f.store.Calls()
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted, replayed := 0, 0
		for i := range 300 {
			wg.Go(func() {
				ticket, answer, _ := f.claim(0, fmt.Sprintf("k%d", i), fmt.Sprintf("a%d", i))
				mu.Lock()
				defer mu.Unlock()
				if ticket != nil {
					granted++
				}
				if answer != nil && answer.Status == 201 {
					replayed++
				}
			})
		}
		wg.Wait()
		_, after := f.store.Calls()
		g.Expect([]int{granted, replayed}).To(Equal([]int{290, 10}))
		g.Expect(after - before).To(BeNumerically("<=", 6))
	})
}

// Guards against a dispatch after a process pause so long that the claim may have been swept, and against a dispatch
// after the host reported the attempt as given up to another host.
func TestPauseBeforeDispatchGivesUp(t *testing.T) {
	withFleet(t, Config{}, 2, func(g Gomega, f *fleet) {
		late, _, err := f.claim(0, "late", "a")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(31 * time.Second)
		expectError[*GivenUpError](g, late.Dispatching(), outcome.NotRun)
		time.Sleep(time.Second)
		g.Expect(f.records(g)).To(BeEmpty())

		asked, _, err := f.claim(0, "asked", "b")
		g.Expect(err).NotTo(HaveOccurred())
		f.mustClaim(g, 1, "asked", "c")
		expectError[*GivenUpError](g, asked.Dispatching(), outcome.NotRun)

		// An attempt that is dispatched within the grace period is not given up.
		quick, _, err := f.claim(0, "quick", "d")
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(100*time.Millisecond, func() { g.Expect(quick.Dispatching()).To(Succeed()) })
		_, _, err = f.claim(1, "quick", "e")
		expectError[*InProgressError](g, err, outcome.Unknown)
	})
}

// Guards against loss of a response that is received during a store outage: it is replayed from the host's memory first
// and from the store later. Also against a replay of another response after the claiming host has crashed.
func TestResponseSurvivesStoreOutageAndHostCrash(t *testing.T) {
	withFleet(t, Config{}, 3, func(g Gomega, f *fleet) {
		answer := Response{Status: 200, ContentType: "text/plain", Body: []byte("booked")}
		ticket := f.mustClaim(g, 0, "k", "a")
		f.host(0).store.SetDown(true)
		var unrecorded *UnrecordedError
		g.Expect(errors.As(ticket.Done(f.ctx, answer), &unrecorded)).To(BeTrue())
		_, replayed, err := f.claim(1, "k", "b")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*replayed).To(Equal(answer))
		f.host(0).store.SetDown(false)
		ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
		defer cancel()
		g.Expect(f.host(0).coord.Flush(ctx)).To(Succeed())
		f.host(0).kill()
		_, replayed, err = f.claim(2, "k", "c")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*replayed).To(Equal(answer))
	})
}

// Guards against a later attempt that runs the call again after the claiming host crashed, restarted, received no
// response, or received a response too large to record.
func TestRepeatsOfUnansweredCalls(t *testing.T) {
	withFleet(t, Config{MaxResponseBytes: 10}, 2, func(g Gomega, f *fleet) {
		f.mustClaim(g, 0, "dead", "a")
		g.Expect(f.mustClaim(g, 0, "lost", "b").Unknown(f.ctx)).To(Succeed())
		large := Response{Status: 200, Body: bytes.Repeat([]byte("x"), 11)}
		g.Expect(f.mustClaim(g, 0, "large", "c").Done(f.ctx, large)).To(Succeed())
		unrecorded := f.mustClaim(g, 0, "large, in memory", "d")
		f.host(0).store.SetDown(true)
		_ = unrecorded.Done(f.ctx, large)
		_, _, err := f.claim(1, "large, in memory", "e")
		expectError[*ResponseTooLargeError](g, err, outcome.Ran)
		f.host(0).kill()
		_, _, err = f.claim(1, "dead", "f")
		expectError[*UnknownOutcomeError](g, err, outcome.Unknown)
		f.start(0, 2)
		_, _, err = f.claim(1, "dead", "g")
		expectError[*UnknownOutcomeError](g, err, outcome.Unknown)
		_, _, err = f.claim(0, "lost", "h")
		expectError[*UnknownOutcomeError](g, err, outcome.Unknown)
		_, _, err = f.claim(1, "large", "i")
		expectError[*ResponseTooLargeError](g, err, outcome.Ran)
		other := call("large", "j")
		other.Digest[0] = 1
		_, _, err = f.host(1).coord.Claim(f.ctx, other)
		expectError[*ReusedKeyError](g, err, outcome.NotRun)
	})
}

// Guards against claims that are never swept, swept before the retention time, or swept while their host may still
// record a final state; and against a sweep that exceeds its read budget.
func TestSweepRemovesExpiredClaims(t *testing.T) {
	withFleet(t, Config{Retention: time.Hour, SweepReadsPerSecond: 8}, 2, func(g Gomega, f *fleet) {
		g.Expect(f.mustClaim(g, 0, "done", "a").Done(f.ctx, Response{})).To(Succeed())
		f.mustClaim(g, 0, "open on a live host", "b")
		f.mustClaim(g, 1, "open on a dead host", "c")
		f.host(1).kill()
		f.start(1, 2)
		readsBefore, _ := f.store.Calls()
		time.Sleep(59 * time.Minute)
		g.Expect(f.records(g)).To(HaveLen(3))
		time.Sleep(20 * time.Minute)
		left := f.records(g)
		g.Expect(left).To(HaveLen(1))
		g.Expect(left[0].Key).To(Equal(storeKey(call("open on a live host", ""))))
		reads, _ := f.store.Calls()
		g.Expect(reads - readsBefore).To(BeNumerically("~", 79*60*8, 79*60))
	})
}

// Guards against a key that stays unusable although its call did not run, for each outcome of the write that releases
// the claim, and against a release that deletes the claim of another attempt or of a call that may have run.
func TestCallThatDidNotRunFreesItsKey(t *testing.T) {
	faults := map[string]func(s *memstore.Client){
		"released":           func(*memstore.Client) {},
		"response lost":      func(s *memstore.Client) { s.LoseResponses(2) },
		"all responses lost": func(s *memstore.Client) { s.LoseResponses(1000) },
		"store down":         func(s *memstore.Client) { s.SetDown(true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, Config{}, 2, func(g Gomega, f *fleet) {
				var order *OrderError
				early, _, err := f.claim(0, "k", "a")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(errors.As(early.NotRun(f.ctx), &order)).To(BeTrue(), "before Dispatching")
				g.Expect(early.Dispatching()).To(Succeed())
				_, _, err = f.claim(1, "k", "told running")
				expectError[*InProgressError](g, err, outcome.Unknown)

				fault(f.host(0).store)
				released := make(chan error, 1)
				go func() { released <- early.NotRun(f.ctx) }()
				synctest.Wait()
				g.Expect(errors.As(early.Done(f.ctx, Response{}), &order)).To(BeTrue(), "Done after NotRun")
				g.Expect(errors.As(early.Unknown(f.ctx), &order)).To(BeTrue())
				// Another host takes over the claim while the release is pending, or finds it deleted.
				next := f.mustClaim(g, 1, "k", "b")
				<-released
				f.host(0).store.SetDown(false)
				f.host(0).store.LoseResponses(0)
				time.Sleep(5 * time.Second)
				g.Expect(f.records(g)).To(HaveLen(1), "the claim of the next attempt")
				g.Expect(next.Done(f.ctx, Response{Status: 201})).To(Succeed())
				g.Expect(errors.As(next.NotRun(f.ctx), &order)).To(BeTrue(), "after Done")
				_, answer, err := f.claim(0, "k", "c")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer.Status).To(Equal(201))
			})
		})
	}
	withFleet(t, Config{}, 2, func(g Gomega, f *fleet) {
		var order *OrderError
		ticket := f.mustClaim(g, 0, "may have run", "a")
		g.Expect(ticket.Unknown(f.ctx)).To(Succeed())
		g.Expect(errors.As(ticket.NotRun(f.ctx), &order)).To(BeTrue())
		_, _, err := f.claim(1, "may have run", "b")
		expectError[*UnknownOutcomeError](g, err, outcome.Unknown)
	})
}

// Guards against ticket calls in the wrong order, an unbounded number of attempts, and claims that remain after their
// caller has canceled.
func TestTicketOrderBoundsAndAbandonment(t *testing.T) {
	withFleet(t, Config{MaxOpenAttempts: 2}, 1, func(g Gomega, f *fleet) {
		var order *OrderError
		first, _, err := f.claim(0, "k", "a")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(errors.As(first.Done(f.ctx, Response{}), &order)).To(BeTrue())
		_, _, err = f.claim(0, "other", "a")
		g.Expect(errors.As(err, &order)).To(BeTrue())
		g.Expect(first.Dispatching()).To(Succeed())
		g.Expect(errors.As(first.Dispatching(), &order)).To(BeTrue())
		g.Expect(errors.As(first.GiveUp(f.ctx), &order)).To(BeTrue())
		g.Expect(f.records(g)).To(HaveLen(1), "GiveUp must not release the claim of a dispatched call")

		second, _, err := f.claim(0, "second", "b")
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = f.claim(0, "third", "c")
		expectError[*UnavailableError](g, err, outcome.NotRun)
		g.Expect(second.GiveUp(f.ctx)).To(Succeed())
		g.Expect(f.records(g)).To(HaveLen(1))

		f.host(0).store.SetDelay(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(f.ctx, 50*time.Millisecond)
		defer cancel()
		_, _, err = f.host(0).coord.Claim(ctx, call("abandoned", "d"))
		expectError[*GivenUpError](g, err, outcome.NotRun)
		time.Sleep(time.Second)
		g.Expect(f.records(g)).To(HaveLen(1))
		open, _ := f.host(0).coord.Open()
		g.Expect(open).To(Equal(1))
	})
}
