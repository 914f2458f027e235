package replica_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/replica"
)

func item(key, value string, revision int64) kvstore.KeyValue {
	return kvstore.KeyValue{Key: key, Value: []byte(value), ModRevision: revision}
}

// Guards against a copy that reverts to an older state: through the older copy of another host, an event that was
// already applied, or a deletion that precedes a later write.
func TestCopyNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var c replica.Copy
	g.Expect(c.Replace([]kvstore.KeyValue{item("a", "1", 5)}, 10, now)).To(BeTrue())
	g.Expect(c.Replace([]kvstore.KeyValue{item("a", "0", 2)}, 9, now.Add(time.Second))).To(BeFalse())
	g.Expect(c.Apply([]kvstore.Event{{KeyValue: item("a", "0", 4)}}, 11, now)).To(BeFalse())
	g.Expect(c.Apply([]kvstore.Event{{KeyValue: item("a", "2", 12)}, {KeyValue: item("a", "", 11), Deleted: true}}, 12, now)).To(BeTrue())
	g.Expect(c.Items()).To(Equal([]kvstore.KeyValue{item("a", "2", 12)}))
	g.Expect(c.Apply([]kvstore.Event{{KeyValue: item("a", "", 13), Deleted: true}, {KeyValue: item("b", "1", 14)}}, 14, now)).To(BeTrue())
	g.Expect(c.Items()).To(Equal([]kvstore.KeyValue{item("b", "1", 14)}))
	g.Expect(c.Revision()).To(Equal(int64(14)))
	c.Apply(nil, 14, now.Add(-time.Second))
	g.Expect(c.ConfirmedAt()).To(Equal(now), "an earlier confirmation has no effect")
}

// Guards against a copy that is passed on in parts and keeps a removed item or misses a changed one: the receiver has an
// older revision, one from before the first read, or one whose removals were forgotten.
func TestChangesSinceARevision(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(1000, 0)
	item := func(key string, revision int64) kvstore.KeyValue {
		return kvstore.KeyValue{Key: key, Value: []byte(key), ModRevision: revision}
	}
	var source, follower replica.Copy
	source.Replace([]kvstore.KeyValue{item("a", 1), item("b", 2), item("c", 3)}, 10, at)
	_, _, partial := source.Since(5)
	g.Expect(partial).To(BeFalse(), "removals before the first read are not known")
	items, _, partial := source.Since(0)
	g.Expect(partial).To(BeFalse())
	follower.Replace(items, 10, at)
	source.Apply([]kvstore.Event{{KeyValue: item("a", 11), Deleted: true}, {KeyValue: item("d", 12)}}, 12, at)
	// A second read finds that c is gone as well.
	source.Replace([]kvstore.KeyValue{item("b", 2), item("d", 12), item("e", 14)}, 15, at)
	items, removals, partial := source.Since(10)
	g.Expect(partial).To(BeTrue())
	var events []kvstore.Event
	for _, i := range items {
		events = append(events, kvstore.Event{KeyValue: i})
	}
	for _, r := range removals {
		events = append(events, kvstore.Event{KeyValue: kvstore.KeyValue{Key: r.Key, ModRevision: r.Revision}, Deleted: true})
	}
	follower.Apply(events, 15, at)
	g.Expect(follower.Items()).To(Equal(source.Items()))
	g.Expect(follower.Revision()).To(BeEquivalentTo(15))
	for n := range int64(2000) {
		source.Apply([]kvstore.Event{{KeyValue: item("x", 16+2*n)}, {KeyValue: item("x"+strconv.FormatInt(n, 10), 17+2*n), Deleted: true}}, 17+2*n, at)
	}
	_, _, partial = source.Since(15)
	g.Expect(partial).To(BeFalse(), "too many removals to remember")
}

// Guards against a copy that refuses a restored store because its revisions have gone back, mixes two eras, or passes on
// changes after a revision that was given out again.
func TestCopyOfARestoredStore(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(1000, 0)
	inEra := func(era, revision int64) int64 { return kvstore.InEra(era, revision) }
	var c replica.Copy
	g.Expect(c.Replace([]kvstore.KeyValue{item("a", "1", inEra(1, 30)), item("b", "1", inEra(1, 20))}, inEra(1, 40), at)).To(BeTrue())
	g.Expect(c.Apply([]kvstore.Event{{KeyValue: item("a", "2", inEra(2, 31))}}, inEra(2, 41), at)).To(BeFalse(), "only a snapshot begins an era")
	g.Expect(c.Replace([]kvstore.KeyValue{item("a", "0", inEra(2, 5))}, inEra(2, 10), at)).To(BeTrue())
	g.Expect(c.Replace(nil, inEra(1, 50), at)).To(BeFalse(), "a copy of another host from before the restore")
	g.Expect(c.Apply([]kvstore.Event{{KeyValue: item("b", "2", inEra(1, 41))}}, inEra(1, 41), at)).To(BeFalse())
	g.Expect(c.Items()).To(Equal([]kvstore.KeyValue{item("a", "0", inEra(2, 5))}))
	_, _, partial := c.Since(inEra(1, 40))
	g.Expect(partial).To(BeFalse())
	_, _, partial = c.Since(inEra(2, 10))
	g.Expect(partial).To(BeTrue())
}
