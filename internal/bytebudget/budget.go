// Package bytebudget bounds the bytes that a host holds for its callers, and those of its requests that are outstanding at
// one backend server. It does no I/O and reads no clock.
package bytebudget

import "sync"

const (
	// Floor is the part of a connection's account that is set aside when the account is opened, in bytes. It holds a usual
	// event, so that a caller that reads is served however much others leave unread.
	Floor = 4 << 10
	// RequestMemory is the memory that an open request needs beside the bytes that its account counts: stacks, and the fixed
	// buffers of two connections. A process with 1,950 open streams and nothing buffered had a resident size of 140 MB, one with
	// 1,000 of them 91 MB.
	RequestMemory = 56 << 10
	// requestPart is the divisor of the limit that gives the bytes which responses leave to requests, so that these are served
	// however much is unread.
	requestPart = 4
	// responseShare is the divisor of the free bytes that gives the share of one response. n connections that leave everything
	// unread hold n/(n+responseShare) of what responses may fill, and the rest goes to the next one. Eight lets a single caller
	// leave a twelfth of the limit unread, which exceeds a whole response of usual size.
	responseShare = 8
	// requestShare is the divisor of the free bytes that gives the largest request body. It exceeds the share of responses,
	// since a body is held whole or not at all.
	requestShare = 2
)

// Budget bounds the bytes of all connections together. The share of a connection is a fraction of what is free, so it
// shrinks as others hold more, and the bound holds for any number of connections. It is safe for concurrent use.
type Budget struct {
	limit, total int64

	mu   sync.Mutex
	held int64
	// open is the number of accounts.
	open int64
}

// New returns a budget of limit bytes, which together with RequestMemory for each account may not exceed total.
func New(limit, total int64) *Budget { return &Budget{limit: limit, total: total} }

// free returns the bytes that may still be held. It is negative if accounts were opened after more was held. b.mu must be
// held.
func (b *Budget) free() int64 { return min(b.limit, b.total-b.open*RequestMemory) - b.held }

// Held returns the bytes in use.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Account holds the bytes of one request and its response. All methods of a nil account allow everything.
type Account struct {
	budget *Budget
	// request counts the bytes of the request and Floor, response those of the response, which use Floor first.
	request, response int64
	closed            bool
}

// Open returns an account that holds the head of a request, or false if there is no room for it and Floor. A nil budget
// returns a nil account.
func (b *Budget) Open(head int64) (*Account, bool) {
	if b == nil {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n := head + Floor
	if n+RequestMemory > b.total-b.open*RequestMemory-b.held || n > b.limit-b.held {
		return nil, false
	}
	b.held += n
	b.open++
	return &Account{budget: b, request: n}, true
}

// FitsRequest reports whether there is room for n more bytes of the request.
func (a *Account) FitsRequest(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return n <= max(a.budget.free(), 0)/requestShare
}

// HoldRequest adds n bytes of the request. It returns false, and adds nothing, if there is no room for them.
func (a *Account) HoldRequest(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if n > a.budget.free() {
		return false
	}
	a.request += n
	a.budget.held += n
	return true
}

// Hold adds n bytes of the response. It returns false, and adds nothing, if that exceeds Floor and the connection's share.
func (a *Account) Hold(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	above := aboveFloor(a.response + n)
	added := above - aboveFloor(a.response)
	if added > 0 && above > (a.budget.free()-a.budget.limit/requestPart)/responseShare {
		return false
	}
	a.response += n
	a.budget.held += added
	return true
}

// Release takes back n bytes of the response.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.set(max(a.response-n, 0))
}

// set changes the bytes of the response. The budget's mu must be held.
func (a *Account) set(response int64) {
	a.budget.held += aboveFloor(response) - aboveFloor(a.response)
	a.response = response
}

// Close takes back everything that the account holds. Repeated calls have no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.set(0)
	a.budget.held -= a.request
	a.budget.open--
}

func aboveFloor(n int64) int64 { return max(n-Floor, 0) }
