package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

const (
	// keyPrefix starts all claim keys in the store. The shard, a slash and the rest of the key's hash follow.
	keyPrefix = "/boragecourse/claim/"
	// shardDigits is the number of leading hex digits of the key's hash that form the shard, the unit in which the
	// sweep lists claims; 3 digits give 4,096 shards.
	shardDigits = 3
	shards      = 1 << (4 * shardDigits)
)

// storeKey returns the claim's key in the store. It hashes the idempotency key, whose length and characters are chosen
// by the caller.
func storeKey(c Call) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%s", len(c.Workspace), c.Workspace, c.IdempotencyKey)
	sum := hex.EncodeToString(h.Sum(nil))
	return keyPrefix + sum[:shardDigits] + "/" + sum[shardDigits:]
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%0*x/", keyPrefix, shardDigits, shard) }

// newRecord returns the claim record of an attempt in progress.
func newRecord(c Call, self host.ID, now time.Time) *peerv1.ClaimRecord {
	return &peerv1.ClaimRecord{
		State:     peerv1.ClaimRecord_STATE_IN_PROGRESS,
		Workspace: c.Workspace, IdempotencyKey: c.IdempotencyKey, Digest: c.Digest[:],
		Attempt: c.Attempt, Host: self.Proto(), UpdatedUnixNanos: now.UnixNano(),
	}
}

func encode(r *peerv1.ClaimRecord) ([]byte, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return b, nil
}

// Range of HTTP status codes of a final response.
const (
	minStatus = 200
	maxStatus = 999
)

// isReplayable reports whether a response has a status with which it can be sent to a caller.
func isReplayable(a *peerv1.RecordedAnswer) bool {
	return a.GetStatus() >= minStatus && a.GetStatus() <= maxStatus
}

// decode returns the found record and its state with respect to the call. A record that this package cannot have
// written yields FoundUnknown, since the call may have run.
func decode(kv kvstore.KeyValue, c Call) (*peerv1.ClaimRecord, FoundState) {
	if kv.ModRevision == 0 {
		return nil, FoundAbsent
	}
	r := &peerv1.ClaimRecord{}
	if err := proto.Unmarshal(kv.Value, r); err != nil {
		return r, FoundUnknown
	}
	if !bytes.Equal(r.Digest, c.Digest[:]) {
		return r, FoundOtherDigest
	}
	switch {
	case r.State == peerv1.ClaimRecord_STATE_IN_PROGRESS && r.GetAttempt() != "" && r.GetHost().GetAddr() != "":
		return r, FoundInProgress
	case r.State == peerv1.ClaimRecord_STATE_DONE && isReplayable(r.GetAnswer()):
		return r, FoundDone
	case r.State == peerv1.ClaimRecord_STATE_DONE_TOO_LARGE:
		return r, FoundTooLarge
	default:
		return r, FoundUnknown
	}
}

func responseFromProto(a *peerv1.RecordedAnswer) *Response {
	return &Response{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
}

func responseToProto(a Response) *peerv1.RecordedAnswer {
	return &peerv1.RecordedAnswer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body} //nolint:gosec // HTTP status.
}
