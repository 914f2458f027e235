package evacuation_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/evacuation"
	"github.com/boragecourse/boragecourse/internal/kvstore"
)

type revisions = map[string]int64

func in(era, revision int64) int64 { return kvstore.InEra(era, revision) }

// Guards against an evacuation that does not end with its key, or that begins again with each copy of the store.
func TestEvacuationFollowsItsKey(t *testing.T) {
	g := NewWithT(t)
	s := evacuation.New()
	began := evacuation.Entry{Zone: "a", Revision: in(1, 7)}
	g.Expect(s.Update(revisions{"a": in(1, 7)}, nil, in(1, 8))).To(Equal([]evacuation.Change{{Entry: began, Kind: evacuation.Began}}))
	g.Expect(s.Update(revisions{"a": in(1, 7)}, nil, in(1, 9))).To(BeEmpty())
	g.Expect(s.Zones()).To(Equal(map[string]bool{"a": true}))
	g.Expect(s.Update(nil, nil, in(1, 10))).To(Equal([]evacuation.Change{{Entry: began, Kind: evacuation.Ended}}))
	g.Expect(s.Zones()).To(BeEmpty())
}

// Guards against a restored store that ends an evacuation by having lost its key, and against one that never ends after it
// was requested again and ended, whether or not the copies in between were seen.
func TestEvacuationOutlastsARestoreOfTheStore(t *testing.T) {
	for name, end := range map[string]func(s *evacuation.Set){
		"seen": func(s *evacuation.Set) {
			s.Update(revisions{"a": in(2, 6)}, nil, in(2, 6))
			s.Update(nil, nil, in(2, 7))
		},
		"only the removal seen": func(s *evacuation.Set) { s.Update(nil, revisions{"a": in(2, 7)}, in(2, 7)) },
		"restored with the key": func(s *evacuation.Set) {
			s.Update(revisions{"a": in(3, 2)}, nil, in(3, 4))
			s.Update(nil, nil, in(3, 5))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := evacuation.New()
			s.Update(revisions{"a": in(1, 30)}, nil, in(1, 40))
			g.Expect(s.Update(nil, revisions{"a": in(1, 20)}, in(2, 5))).To(HaveLen(1))
			g.Expect(s.Update(nil, nil, in(2, 6))).To(BeEmpty())
			g.Expect(s.Zones()).To(HaveKey("a"))
			g.Expect(s.Retained()).To(Equal([]evacuation.Entry{{Zone: "a", Revision: in(1, 30), Retained: true}}))
			end(s)
			g.Expect(s.Zones()).To(BeEmpty())
			g.Expect(s.Receive([]evacuation.Entry{{Zone: "a", Revision: in(1, 30)}})).To(BeEmpty(), "from a host that has not seen the end")
			g.Expect(s.Update(revisions{"a": in(3, 60)}, nil, in(3, 60))).To(HaveLen(1), "requested anew")
		})
	}
}

// Guards against a host that has started after the restore and does not take over what others retain, and against reports that
// evacuate zones without a restore or without bound.
func TestRetainedEvacuationsOfOtherHosts(t *testing.T) {
	g := NewWithT(t)
	s := evacuation.New()
	retained := []evacuation.Entry{{Zone: "a", Revision: in(1, 30)}}
	g.Expect(s.Receive(retained)).To(BeEmpty(), "without a copy")
	s.Update(nil, nil, in(1, 50))
	g.Expect(s.Receive(retained)).To(BeEmpty(), "the copy is of the same era")
	s.Update(nil, nil, in(2, 5))
	g.Expect(s.Receive(retained)).To(HaveLen(1))
	g.Expect(s.Receive(retained)).To(BeEmpty())
	g.Expect(s.Update(nil, nil, in(2, 6))).To(BeEmpty())
	g.Expect(s.Zones()).To(HaveKey("a"))
	for i := range 1000 {
		s.Receive([]evacuation.Entry{{Zone: fmt.Sprint(i), Revision: in(1, 1)}})
	}
	g.Expect(len(s.Zones())).To(BeNumerically("<=", 256))
}
