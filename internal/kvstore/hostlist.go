package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// HostPrefix is the key prefix under which the platform publishes its hosts, one JSON object per host.
const HostPrefix = "/platform/hosts/"

// NewHostList returns the host list that the platform publishes in store. Each ListHosts call reads the store.
func NewHostList(store Store) Hosts { return &hostList{store: store} }

type hostList struct{ store Store }

type hostJSON struct {
	Name  string    `json:"name"`
	Addr  string    `json:"addr"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// EncodeHost returns the key and value with which the platform publishes an entry. The error is a *HostEntryError.
func EncodeHost(e HostEntry) (key string, value []byte, err error) {
	value, err = json.Marshal(hostJSON(e))
	if err != nil {
		return "", nil, &HostEntryError{Key: HostPrefix + e.Name, Cause: err}
	}
	return HostPrefix + e.Name, value, nil
}

// ListHosts implements Hosts. It leaves out invalid entries and returns the valid ones together with an error that
// joins one *HostEntryError for each invalid entry.
func (l *hostList) ListHosts(ctx context.Context) ([]HostEntry, error) {
	kvs, err := l.store.List(ctx, HostPrefix)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	var hosts []HostEntry
	var faults []error
	for _, kv := range kvs {
		var h hostJSON
		err := json.Unmarshal(kv.Value, &h)
		if err == nil && (h.Name == "" || h.Addr == "" || (h.State != HostLive && h.State != HostLeaving)) {
			err = errIncompleteHost
		}
		if err != nil {
			faults = append(faults, &HostEntryError{Key: kv.Key, Cause: err})
			continue
		}
		hosts = append(hosts, HostEntry(h))
	}
	return hosts, errors.Join(faults...)
}
