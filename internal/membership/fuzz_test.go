package membership

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/kvstore"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Guards against a corrupt epoch record that is accepted although it has no number, or hosts that are incomplete or
// listed twice.
func FuzzEpochRecord(f *testing.F) {
	h := host.ID{Name: "h1", Addr: "10.0.0.1:1", Zone: "a", Incarnation: 1}
	valid, err := marshalRecord(Record{}.next(nil, []host.ID{h}, nil))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x01, 0x12, 0x00})
	f.Add(append(valid, valid...))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := unmarshalRecord(value)
		var typed *RecordError
		if err != nil {
			if !errors.As(err, &typed) {
				t.Fatalf("error is not a *RecordError: %v", err)
			}
			return
		}
		seen := map[string]bool{}
		for _, h := range r.Hosts {
			if h.Name == "" || h.Addr == "" || h.Zone == "" || seen[h.Name] {
				t.Fatalf("accepted hosts %v", r.Hosts)
			}
			seen[h.Name] = true
		}
		if r.Number == 0 {
			t.Fatal("accepted an epoch without a number")
		}
	})
}

// Guards against a corrupt registration that adds a host to the epoch without a name, address or zone, or under another
// name than that of its key.
func FuzzRegistration(f *testing.F) {
	h := host.ID{Name: "h1", Addr: "10.0.0.1:1", Zone: "a", Incarnation: 1}
	valid, err := proto.Marshal(&peerv1.Registration{Host: h.Proto(), Ready: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(registeredKey(h), valid)
	f.Add(registeredPrefix+"h2/0000000000000001", valid)
	f.Add(registeredKey(h), []byte{0x10, 0x01})
	f.Add(registeredKey(h), []byte{0x0a, 0xff})
	f.Add(sessionPrefix+"h1/x", []byte{})
	f.Add(sessionPrefix+"h1", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r, _ := parseRegistry([]kvstore.KeyValue{{Key: key, Value: value, ModRevision: 3}})
		for _, reg := range r.Registered {
			if registeredKey(reg.Host) != key || reg.Host.Name == "" || reg.Host.Addr == "" || reg.Host.Zone == "" {
				t.Fatalf("key %q gave registration %+v", key, reg)
			}
		}
	})
}
