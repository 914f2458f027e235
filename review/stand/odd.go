package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	oddTime  = 30 * time.Second
	oddEvery = 3 * time.Second
)

func init() { scenarios["odd"] = playOdd }

// playOdd sends bookings, which go to the workers of the desk only. The trouble is another writer: it writes the entry of a worker
// of the archive with a part of the fields and with the service of the desk. The worker's next heartbeat replaces that entry.
func playOdd(r *rig, trouble bool) (bool, error) {
	if err := r.configure(route("book", "/book/", "unsafe", "desk", nil), route("file", "/file/", "unsafe", "archive", nil)); err != nil {
		return false, err
	}
	var desks, archives []*desk
	for i := range 3 {
		d, err := r.startDesk(fmt.Sprintf("i-desk%d", i), "desk")
		if err != nil {
			return false, err
		}
		a, err := r.startDesk(fmt.Sprintf("i-arch%d", i), "archive")
		if err != nil {
			return false, err
		}
		desks, archives = append(desks, d), append(archives, a)
	}
	hosts, err := r.startHosts(2)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), oddTime)
	defer cancel()
	for _, d := range append(append([]*desk(nil), desks...), archives...) {
		go d.beat(ctx)
	}
	if trouble {
		go writeOdd(ctx, r, archives[0])
	}
	var sending sync.WaitGroup
	booked, served := map[string]bool{}, 0
	var mu sync.Mutex
	for i := 0; pause(ctx, 25*time.Millisecond); i++ {
		id, path := r.newID(), fmt.Sprintf("/book/%d", i)
		if i%4 == 3 {
			path = fmt.Sprintf("/file/%d", i)
		}
		mu.Lock()
		booked[id] = strings.HasPrefix(path, "/book/")
		mu.Unlock()
		sending.Go(func() {
			r.note("client sends %s: POST %s", id, path)
			answer, err := sendRaw(hosts[i%len(hosts)].front, "POST", path, id)
			r.note("client gets  %s: %s %v", id, answer, err)
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(answer, "200") {
				served++
			}
		})
	}
	sending.Wait()
	wrong := 0
	for _, a := range archives {
		a.mu.Lock()
		for id, runs := range a.ran {
			if booked[id] {
				wrong += len(runs)
			}
		}
		a.mu.Unlock()
	}
	r.note("%d requests sent, %d served, %d bookings run by a worker of the archive", len(booked), served, wrong)
	if served < len(booked)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(booked))
	}
	return wrong > 0, nil
}

// writeOdd is the other writer.
func writeOdd(ctx context.Context, r *rig, a *desk) {
	for pause(ctx, oddEvery) {
		entry := fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"slots":6,"state":"ready"}`, a.addr, zone)
		r.store.Put("servers/"+a.id, []byte(entry))
		r.note("another writer writes servers/%s: %s", a.id, entry)
	}
}
