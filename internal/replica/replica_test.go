package replica_test

import (
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
