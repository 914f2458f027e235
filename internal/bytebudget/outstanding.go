package bytebudget

import "sync"

// Outstanding bounds the bytes of the requests that this host has outstanding at each backend server. It is safe for
// concurrent use. A nil Outstanding allows everything.
type Outstanding struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// NewOutstanding returns an Outstanding without requests.
func NewOutstanding() *Outstanding { return &Outstanding{bytes: map[string]int64{}} }

// Add records a request of n bytes at a server. It returns false, and records nothing, if the server's requests would
// exceed limit. A server without requests gets one of any size, since it could not be served anywhere otherwise.
func (o *Outstanding) Add(key string, n, limit int64) bool {
	if o == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := o.bytes[key]; held > 0 && held+n > limit {
		return false
	}
	o.bytes[key] += n
	return true
}

// Remove takes back what Add has recorded.
func (o *Outstanding) Remove(key string, n int64) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bytes[key] -= n; o.bytes[key] <= 0 {
		delete(o.bytes, key)
	}
}

// Most returns the bytes outstanding at the server that has the most of them.
func (o *Outstanding) Most() int64 {
	if o == nil {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	most := int64(0)
	for _, n := range o.bytes {
		most = max(most, n)
	}
	return most
}
