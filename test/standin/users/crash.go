package users

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// crashTime is how long a server that has crashed is away.
const crashTime = 300 * time.Millisecond

// CrashOn makes the server crash whenever it starts to stream the response to a prompt with the part. All its connections
// end, and it is back under a new incarnation after crashTime.
func (w *Worker) CrashOn(part string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fatalPart = part
}

// Crashes returns how many times the server has crashed because of CrashOn.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// crashesOn reports whether the prompt of a request contains the fatal part. The last part is the request's own.
func (w *Worker) crashesOn(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); w.fatalPart != "" && id == w.fatalPart {
			return true
		}
	}
	return false
}

// crash ends all connections and starts the server again after crashTime.
func (w *Worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes++
	server := w.server
	// Closing waits for no handler, but this is called by one.
	go func() {
		_ = server.Close()
		time.Sleep(crashTime)
		w.restart()
	}()
}

func (w *Worker) restart() {
	l, err := net.Listen("tcp", w.Addr)
	w.mu.Lock()
	closed := w.fatalPart == ""
	w.StartMillis, w.holds, w.handles, w.leaving = time.Now().UnixMilli(), 0, map[string]bool{}, false
	store := w.registeredAt
	w.mu.Unlock()
	if err != nil || closed {
		return
	}
	w.serve(l)
	w.Register(store, "ready")
}
