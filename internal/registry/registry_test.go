package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
	"github.com/boragecourse/boragecourse/internal/registry"
)

var start = time.Unix(1000, 0)

func server(id string) fleet.Server {
	return fleet.Server{ID: id, StartMillis: 1, Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 12}
}

func ids(states []registry.State) []string {
	out := []string{}
	for _, s := range states {
		out = append(out, s.ID)
	}
	return out
}

// Guards against sending requests to a backend server that is draining, or whose registration was removed while the
// store was available.
func TestLeavingServersGetNoWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Update([]fleet.Server{server("a"), server("b")}, start)
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"a", "b"}))
	leaving := server("a")
	leaving.Draining = true
	changes := r.Update([]fleet.Server{leaving, server("b")}, start)
	g.Expect(changes).To(Equal([]registry.Change{{Server: leaving, Kind: registry.Draining}}))
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"b"}))
	r.Update([]fleet.Server{server("a"), server("b")}, start)
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"b"}), "an older registration does not revert draining")
	r.Update([]fleet.Server{server("a")}, start)
	g.Expect(ids(r.Usable(start))).To(BeEmpty())
}

// Guards against removing every backend server when registrations expire during an outage of the store, and against
// keeping one that does not register again.
func TestRegistrationsThatExpireInAnOutageMayBeRenewed(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	leaving := server("c")
	leaving.Draining = true
	r.Update([]fleet.Server{server("a"), server("b"), leaving}, start)
	r.StoreRecovered(start)
	changes := r.Update(nil, start.Add(100*time.Millisecond))
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"a", "b"}))
	g.Expect(changes).To(ContainElement(registry.Change{Server: leaving, Kind: registry.Removed}),
		"a draining backend server does not register again")
	at, due := r.NextCheck(start.Add(100 * time.Millisecond))
	g.Expect(due).To(BeTrue())
	r.Update([]fleet.Server{server("a")}, at.Add(time.Millisecond))
	g.Expect(ids(r.Usable(at))).To(Equal([]string{"a"}))
}

// Guards against treating a restarted backend server as its previous incarnation.
func TestRestartedServerIsANewIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	old := server("a")
	old.Draining = true
	r.Update([]fleet.Server{old}, start)
	restarted := server("a")
	restarted.StartMillis = 2
	changes := r.Update([]fleet.Server{restarted}, start)
	g.Expect(changes).To(Equal([]registry.Change{{Server: restarted, Kind: registry.Replaced}}))
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"a"}))
}

// Guards against sending to an address at which another backend server responds, and against excluding the address
// permanently.
func TestMisdirectedServerIsAvoidedForAWhile(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Update([]fleet.Server{server("a")}, start)
	r.MarkMisdirected("a", 2, start)
	g.Expect(r.Usable(start)).To(HaveLen(1), "the report concerns another incarnation")
	r.MarkMisdirected("a", 1, start)
	g.Expect(r.Usable(start)).To(BeEmpty())
	at, due := r.NextCheck(start)
	g.Expect(due).To(BeTrue())
	g.Expect(r.Usable(at)).To(HaveLen(1))
}

// Guards against work for incarnations that had left before the store was restored from a copy in which they are listed,
// and against excluding an incarnation that registers later.
func TestServersThatLeftBeforeARestoreGetNoWork(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	restarted, leaving := server("b"), server("c")
	restarted.StartMillis, leaving.Draining = 2, true
	before := []fleet.Server{server("a"), server("b"), server("c"), server("d")}
	r.Update(before, start)
	r.Update([]fleet.Server{restarted, leaving, server("d")}, start)
	r.StoreRestored(start.Add(time.Second))
	now := start.Add(1100 * time.Millisecond)
	r.Update(before, now)
	usable := r.Usable(now)
	g.Expect(ids(usable)).To(Equal([]string{"b", "d"}), "a has left, c is draining")
	g.Expect(usable[0].StartMillis).To(BeEquivalentTo(2))
	at, due := r.NextCheck(now)
	g.Expect(due).To(BeTrue())
	r.Update([]fleet.Server{server("a"), restarted}, at)
	g.Expect(ids(r.Usable(at))).To(Equal([]string{"a", "b"}))
}

// Guards against removing a backend server that a restored store does not list yet.
func TestServersThatARestoreLostMayRegisterAgain(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Update([]fleet.Server{server("a")}, start)
	r.StoreRestored(start)
	r.Update(nil, start.Add(time.Second))
	g.Expect(ids(r.Usable(start))).To(Equal([]string{"a"}))
	at, due := r.NextCheck(start.Add(time.Second))
	g.Expect(due).To(BeTrue())
	r.Update(nil, at)
	g.Expect(r.Usable(at)).To(BeEmpty())
}

// Guards against a backend server whose changes are ignored after a restore of the store because its registration had
// expired, and was renewed, at some time before.
func TestServerThatReturnedBeforeRestoreIsNotWithheld(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	r.Update([]fleet.Server{server("a")}, start)
	r.Update(nil, at(1))
	r.Update([]fleet.Server{server("a")}, at(2))
	r.StoreRestored(at(20))
	leaving := server("a")
	leaving.Draining = true
	g.Expect(r.Update([]fleet.Server{leaving}, at(21))).To(Equal([]registry.Change{{Server: leaving, Kind: registry.Draining}}))
	g.Expect(ids(r.Usable(at(21)))).To(BeEmpty())
}

// Guards against a sound backend server that stays out of use although it has registered again after a restore.
func TestServerThatRegistersAfterRestoreIsUsed(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Update([]fleet.Server{server("a")}, start)
	r.Update(nil, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	r.StoreRestored(now)
	r.Update([]fleet.Server{server("a")}, now)
	g.Expect(ids(r.Usable(now))).To(BeEmpty())
	r.RecordWrite("a", server("a").StartMillis)
	r.Update([]fleet.Server{server("a")}, now)
	g.Expect(ids(r.Usable(now))).To(Equal([]string{"a"}))
}
