package main

import (
	"context"
	"fmt"
)

func init() { scenarios["path"] = playPath }

// playPath sends bookings and look-ups on a route whose prefix is the slash alone. The trouble is a client that joins a base
// address which ends with a slash and a path which begins with one, so that its paths begin with two slashes.
func playPath(r *rig, trouble bool) (bool, error) {
	if err := r.configure(route("all", "/", "unsafe", "desk", nil)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var desks []*desk
	for i := range 3 {
		d, err := r.startDesk(fmt.Sprintf("i-desk%d", i), "desk")
		if err != nil {
			return false, err
		}
		go d.beat(ctx)
		desks = append(desks, d)
	}
	h, err := r.startHost("front-porto-pa-1")
	if err != nil {
		return false, err
	}
	first := "/"
	if trouble {
		first = "//"
	}
	sent := map[string]string{}
	for i := range 40 {
		id := r.newID()
		method, target := "POST", fmt.Sprintf("%svans/%d/book", first, i)
		if i%2 == 1 {
			method, target = "GET", fmt.Sprintf("%svans/%d?day=%d", first, i, i%7)
		}
		sent[id] = method + " " + target
		r.note("client sends %s: %s", id, sent[id])
		answer, err := sendRaw(h.front, method, target, id)
		if err != nil {
			return false, err
		}
		r.note("client gets  %s: %s", id, answer)
	}
	ran, changed := 0, 0
	for _, d := range desks {
		d.mu.Lock()
		for id, runs := range d.ran {
			for _, what := range runs {
				ran++
				if what != sent[id] {
					changed++
				}
			}
		}
		d.mu.Unlock()
	}
	r.note("%d requests sent, %d run, %d of these with another path than the client's", len(sent), ran, changed)
	if ran < len(sent)/2 {
		return false, fmt.Errorf("only %d of %d requests ran", ran, len(sent))
	}
	return changed > 0, nil
}
