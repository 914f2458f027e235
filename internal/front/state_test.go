package front

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/exchange"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	"github.com/boragecourse/boragecourse/internal/metrics"
)

// Guards against a host that learns of a restore of the store late, from another host, takes it for a new one, and passes
// that on, so that backend servers that have left get work again.
func TestHostsPassOnWhenTheStoreWasRestored(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := newState(nil, logr.Discard(), metrics.New(), func() time.Time { return now })
	s.ReceiveCopy("a", Transfer{Revision: kvstore.InEra(1, 9), ConfirmedAt: now}, false)
	g.Expect(s.Restored()).To(BeFalse())
	restoredAt := now.Add(-8 * time.Second)
	s.ReceiveCopy("a", Transfer{Revision: kvstore.InEra(2, 5), ConfirmedAt: now, RecoveredAt: restoredAt}, false)
	g.Expect(s.Restored()).To(BeTrue())
	g.Expect(s.Since(exchange.StateVersion{}).RecoveredAt).To(Equal(restoredAt))
}
