package membership

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Record is the stored form of an epoch. It contains everything that a host needs to propose the next epoch, so that
// the host does not have to know the earlier ones.
type Record struct {
	Epoch
	// Previous holds the hosts of the previous epoch.
	Previous []host.ID
	// Left holds the hosts of the previous epoch that removed themselves when they were drained.
	Left []host.ID
	// ZoneChanged maps each zone to the number of the epoch that last changed its hosts.
	ZoneChanged map[string]uint64
}

// hostKey identifies one incarnation of a host, independent of its address.
type hostKey struct {
	name        string
	incarnation uint64
}

func keyOf(id host.ID) hostKey { return hostKey{id.Name, id.Incarnation} }

// next returns the record of the epoch after r. Hosts in left have removed themselves and are in removed as well.
func (r Record) next(removed, added, left []host.ID) Record {
	n := Record{Previous: r.Hosts, Left: left, ZoneChanged: maps.Clone(r.ZoneChanged)}
	n.Number = r.Number + 1
	if n.ZoneChanged == nil {
		n.ZoneChanged = map[string]uint64{}
	}
	for _, h := range r.Hosts {
		if !containsHost(removed, h) {
			n.Hosts = append(n.Hosts, h)
		}
	}
	n.Hosts = append(n.Hosts, added...)
	slices.SortFunc(n.Hosts, compareHosts)
	for _, h := range slices.Concat(removed, added) {
		n.ZoneChanged[h.Zone] = n.Number
	}
	for zone := range n.ZoneChanged {
		if len(n.InZone(zone)) == 0 && n.ZoneChanged[zone] != n.Number {
			delete(n.ZoneChanged, zone)
		}
	}
	return n
}

func compareHosts(a, b host.ID) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}

func containsHost(hosts []host.ID, id host.ID) bool {
	return slices.ContainsFunc(hosts, func(h host.ID) bool { return keyOf(h) == keyOf(id) })
}

// Proto converts the record to the protobuf message that is stored and sent to peers.
func (r Record) Proto() *peerv1.EpochRecord {
	return &peerv1.EpochRecord{
		Number: r.Number, Hosts: hostsToProto(r.Hosts), Previous: hostsToProto(r.Previous),
		Left: hostsToProto(r.Left), ZoneChanged: r.ZoneChanged,
	}
}

// recordFromProto is the inverse of Record.Proto. It does not validate the record.
func recordFromProto(p *peerv1.EpochRecord) Record {
	r := Record{
		Previous: hostsFromProto(p.GetPrevious()), Left: hostsFromProto(p.GetLeft()),
		ZoneChanged: p.GetZoneChanged(),
	}
	r.Number, r.Hosts = p.GetNumber(), hostsFromProto(p.GetHosts())
	return r
}

func hostsToProto(hosts []host.ID) []*peerv1.HostID {
	ps := make([]*peerv1.HostID, len(hosts))
	for i, h := range hosts {
		ps[i] = h.Proto()
	}
	return ps
}

func hostsFromProto(ps []*peerv1.HostID) []host.ID {
	if len(ps) == 0 {
		return nil
	}
	hosts := make([]host.ID, len(ps))
	for i, p := range ps {
		hosts[i] = host.FromProto(p)
	}
	return hosts
}

func marshalRecord(r Record) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r.Proto())
	if err != nil {
		return nil, fmt.Errorf("encode epoch: %w", &RecordError{Key: epochKey, Cause: err})
	}
	return b, nil
}

func unmarshalRecord(b []byte) (Record, error) {
	var p peerv1.EpochRecord
	if err := proto.Unmarshal(b, &p); err != nil {
		return Record{}, fmt.Errorf("read epoch: %w", &RecordError{Key: epochKey, Cause: err})
	}
	r := recordFromProto(&p)
	if !r.isValid() {
		return Record{}, fmt.Errorf("read epoch: %w", &RecordError{Key: epochKey, Cause: errRecordFormat})
	}
	return r, nil
}

// isValid reports whether the record has an epoch number, and hosts with unique names, an address and a zone.
func (r Record) isValid() bool {
	seen := make(map[string]bool, len(r.Hosts))
	for _, h := range r.Hosts {
		if !isComplete(h) || seen[h.Name] {
			return false
		}
		seen[h.Name] = true
	}
	return r.Number > 0
}

func isComplete(h host.ID) bool { return h.Name != "" && h.Addr != "" && h.Zone != "" }
