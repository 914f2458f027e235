package claim

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against a corrupt claim record that is treated as absent, so that the call runs again; that replays a response
// without a valid HTTP status; that is taken for another call's; or that is in progress without a host and an attempt.
func FuzzClaimRecord(f *testing.F) {
	c := call("key", "attempt")
	add := func(r *peerv1.ClaimRecord) {
		value, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
		f.Add(value[:len(value)-1])
	}
	h := &peerv1.HostID{Name: "h", Addr: "10.0.0.1:1", Zone: "a", Incarnation: 1}
	add(&peerv1.ClaimRecord{State: peerv1.ClaimRecord_STATE_IN_PROGRESS, Digest: c.Digest[:], Attempt: "a", Host: h, Workspace: c.Workspace, IdempotencyKey: c.IdempotencyKey})
	for _, status := range []int32{200, 0, -1, 99, 1000, 1 << 30} {
		add(&peerv1.ClaimRecord{State: peerv1.ClaimRecord_STATE_DONE, Digest: c.Digest[:], Answer: &peerv1.RecordedAnswer{Status: status}})
	}
	add(&peerv1.ClaimRecord{State: peerv1.ClaimRecord_STATE_DONE, Digest: c.Digest[:]})
	f.Add([]byte{0x08})
	f.Fuzz(func(t *testing.T, value []byte) {
		r, found := decode(kvstore.KeyValue{Key: storeKey(c), Value: value, ModRevision: 1}, c)
		switch found {
		case FoundAbsent:
			t.Fatal("stored claim decoded as absent")
		case FoundDone:
			if s := responseFromProto(r.GetAnswer()).Status; s < 200 || s > 999 {
				t.Fatalf("recorded response with invalid status %d accepted for replay", s)
			}
		case FoundInProgress:
			if r.GetHost().GetAddr() == "" || r.GetAttempt() == "" {
				t.Fatalf("claim in progress without host or attempt: %v", r)
			}
		}
		reply := eventFromReply(&peerv1.AskClaimResponse{State: peerv1.AskClaimResponse_STATE_DONE, Answer: r.GetAnswer()}, nil)
		if s := r.GetAnswer().GetStatus(); reply.Reply == ReplyDone && (s < 200 || s > 999) {
			t.Fatalf("peer's response with invalid status %d accepted for replay", s)
		}
	})
}
