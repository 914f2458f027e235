package membership

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/boragecourse/boragecourse/internal/host"
)

// Store keys. A registration is attached to the host's lease and is deleted with it. A session record outlives the
// lease, so its revision shows whether the host has acquired a later lease.
const (
	epochKey         = "/boragecourse/epoch"
	memberPrefix     = "/boragecourse/member/"
	registeredPrefix = memberPrefix + "registered/"
	sessionPrefix    = memberPrefix + "session/"
)

func registeredKey(id host.ID) string { return registeredPrefix + keySuffix(id) }

func sessionKey(id host.ID) string { return sessionPrefix + keySuffix(id) }

func keySuffix(id host.ID) string { return fmt.Sprintf("%s/%016x", id.Name, id.Incarnation) }

// parseKeySuffix is the inverse of keySuffix.
func parseKeySuffix(s string) (hostKey, bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return hostKey{}, false
	}
	incarnation, err := strconv.ParseUint(s[i+1:], 16, 64)
	return hostKey{s[:i], incarnation}, err == nil
}
