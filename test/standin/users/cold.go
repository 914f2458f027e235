package users

import (
	"net/http"
	"strconv"
	"time"
)

// BeCold makes the server say for a time that it is cold, in its responses and when it registers.
func (w *Worker) BeCold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(d)
}

// coldLeft returns how much longer the server is cold, in milliseconds. w.mu must be held.
func (w *Worker) coldLeft() int64 { return max(time.Until(w.coldUntil).Milliseconds(), 0) }

func (w *Worker) announceCold(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := w.coldLeft(); left > 0 {
		rw.Header().Set("Cold-Ms", strconv.FormatInt(left, 10))
	}
}
