package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// desk is a stand-in for a worker of a plain service. It notes what it runs.
type desk struct {
	r                 *rig
	id, service, addr string
	born              int64

	mu  sync.Mutex
	ran map[string][]string
	seq int
}

// startDesk starts a worker of a service and registers it.
func (r *rig) startDesk(id, service string) (*desk, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{r: r, id: id, service: service, addr: l.Addr().String(), born: time.Now().UnixMilli(), ran: map[string][]string{}}
	go func() { _ = http.Serve(l, d) }()
	d.register()
	return d, nil
}

func (d *desk) register() {
	d.mu.Lock()
	d.seq++
	seq := d.seq
	d.mu.Unlock()
	d.r.store.Put("servers/"+d.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d}`,
		d.service, d.addr, zone, seq, d.born))
}

// beat registers the worker again at each heartbeat.
func (d *desk) beat(ctx context.Context) {
	for pause(ctx, heartbeat) {
		d.register()
	}
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != d.id {
		w.Header().Set("Instance-Id", d.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Request-Id")
	what := q.Method + " " + q.URL.EscapedPath()
	if q.URL.RawQuery != "" {
		what += "?" + q.URL.RawQuery
	}
	d.mu.Lock()
	d.ran[id] = append(d.ran[id], what)
	d.mu.Unlock()
	d.r.note("worker %s runs %s: %s (request line: %s %s)", d.id, id, what, q.Method, q.RequestURI)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", d.id+"."+id)
	w.Header().Set("Load-Report", "1,0,6")
	_, _ = io.WriteString(w, "done: "+what+"\n")
}

// sendRaw sends a request whose target is written byte for byte, and returns the status and the body of the answer.
func sendRaw(addr, method, target, id string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	body := ""
	if method == http.MethodPost {
		body = "seats=2"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, id, clientKey, len(body), body)
	if err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d, stamp %q, %s", resp.StatusCode, resp.Header.Get("Response-Stamp"), strings.TrimSpace(string(text))), err
}
