package charge

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// keyPrefix is the prefix of all charge batch keys in the store.
const keyPrefix = "/boragecourse/charge/"

const (
	// pageDigits is the number of trailing hex digits of the sequence number that the prefix of a page omits. Trace
	// reads by page; one digit gives 16 batches per store read, at most 2 MiB.
	pageDigits = 1
	pageSize   = 1 << (4 * pageDigits)
)

// incarnationID identifies one incarnation of a host, which numbers its batches from 1.
type incarnationID struct {
	name        string
	incarnation uint64
}

func incarnationOf(id host.ID) incarnationID { return incarnationID{id.Name, id.Incarnation} }

// key returns the store key of the batch with the sequence number.
func (r incarnationID) key(sequence uint64) string {
	return fmt.Sprintf("%s%s/%016x/%016x", keyPrefix, url.PathEscape(r.name), r.incarnation, sequence)
}

// page returns the common prefix of the keys in the page that contains the sequence number.
func (r incarnationID) page(sequence uint64) string {
	k := r.key(sequence)
	return k[:len(k)-pageDigits]
}

// requestID returns <host>-<incarnation>-<sequence>-<counter>. The sequence number is that of the batch that was open
// when the request began, so the record is in that batch or a later one.
func (r incarnationID) requestID(sequence, counter uint64) string {
	return fmt.Sprintf("%s-%016x-%x-%x", r.name, r.incarnation, sequence, counter)
}

// parseRequestID returns the incarnation and the first sequence number whose batch may contain the record. Host names
// may contain hyphens.
func parseRequestID(id string) (incarnationID, uint64, error) {
	parts := strings.Split(id, "-")
	if len(parts) < 4 {
		return incarnationID{}, 0, &RequestIDError{id}
	}
	var numbers [3]uint64
	for i, part := range parts[len(parts)-3:] {
		n, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return incarnationID{}, 0, &RequestIDError{id}
		}
		numbers[i] = n
	}
	name := strings.Join(parts[:len(parts)-3], "-")
	return incarnationID{name, numbers[0]}, numbers[1], nil
}

// toProto converts a record and replaces invalid UTF-8 in its strings, since one invalid string would prevent the whole
// batch from being encoded.
func toProto(r Record) *peerv1.ChargeRecord {
	p := &peerv1.ChargeRecord{
		RequestId: r.RequestID, Workspace: r.Workspace, KeyId: r.KeyID, Generation: r.Generation,
		RuleLine: int32(r.Rule.Line), RuleText: r.Rule.Text, Who: r.Rule.Who, Why: r.Rule.Why, //nolint:gosec // Line number.
		PromptTokens: r.PromptTokens, CachedTokens: r.CachedTokens, OutputTokens: r.OutputTokens,
		Outcome: r.Outcome, Route: r.Route, FinishedUnixNanos: r.Finished.UnixNano(), CostTokens: r.CostTokens,
	}
	for _, s := range []*string{&p.RequestId, &p.Workspace, &p.KeyId, &p.RuleText, &p.Who, &p.Why, &p.Outcome, &p.Route} {
		*s = strings.ToValidUTF8(*s, "\uFFFD")
	}
	return p
}

func fromProto(p *peerv1.ChargeRecord) Record {
	return Record{
		RequestID: p.GetRequestId(), Workspace: p.GetWorkspace(), KeyID: p.GetKeyId(), Generation: p.GetGeneration(),
		Rule:  rules.Origin{Line: int(p.GetRuleLine()), Text: p.GetRuleText(), Who: p.GetWho(), Why: p.GetWhy()},
		Route: p.GetRoute(), PromptTokens: p.GetPromptTokens(), CachedTokens: p.GetCachedTokens(),
		OutputTokens: p.GetOutputTokens(), CostTokens: p.GetCostTokens(), Outcome: p.GetOutcome(),
		Finished: time.Unix(0, p.GetFinishedUnixNanos()),
	}
}

// encode uses deterministic marshaling, so that the charging host and the replica host write the same bytes.
func encode(b *peerv1.ChargeBatch) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode charge batch: %w", err)
	}
	return value, nil
}

func decode(value []byte) (*peerv1.ChargeBatch, error) {
	b := &peerv1.ChargeBatch{}
	if err := proto.Unmarshal(value, b); err != nil {
		return nil, &CorruptBatchError{err}
	}
	return b, nil
}

// findRecord returns the record of a request in an encoded batch.
func findRecord(value []byte, requestID string) (Record, bool, error) {
	b, err := decode(value)
	if err != nil {
		return Record{}, false, err
	}
	for _, r := range b.GetRecords() {
		if r.GetRequestId() == requestID {
			return fromProto(r), true, nil
		}
	}
	return Record{}, false, nil
}
