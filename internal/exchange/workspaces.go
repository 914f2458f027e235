package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// workspaceList is the sorted list of the workspaces of a configuration. Hosts with the same list refer to workspaces by
// their index. The list is identified by its contents and not by the version of the configuration, so that hosts also do
// so while their configurations differ in something else. It does not change. A nil list is empty.
type workspaceList struct {
	id    uint64
	names []string
	index map[string]int64
}

func newWorkspaceList(names []string) *workspaceList {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if len(names) == 0 {
		return nil
	}
	l := &workspaceList{names: names, index: make(map[string]int64, len(names))}
	hash := sha256.New()
	for i, name := range names {
		l.index[name] = int64(i)
		hash.Write(binary.AppendUvarint(nil, uint64(len(name))))
		hash.Write([]byte(name))
	}
	// The lowest bit is set because 0 stands for no list.
	l.id = binary.LittleEndian.Uint64(hash.Sum(nil)) | 1
	return l
}

// identity returns the number that identifies the list, 0 without one.
func (l *workspaceList) identity() uint64 {
	if l == nil {
		return 0
	}
	return l.id
}

// ifNamed returns the list if a request names it by its identity, or nil.
func (l *workspaceList) ifNamed(id uint64) *workspaceList {
	if id == 0 || l.identity() != id {
		return nil
	}
	return l
}

// addAdmitted adds the admitted tokens of a workspace to a report, by index if the list has the workspace.
func (l *workspaceList) addAdmitted(r *peerv1.FrontReport, name string, tokens int64) {
	if l != nil {
		if i, known := l.index[name]; known {
			r.AdmittedByIndex = append(r.AdmittedByIndex, i, tokens)
			return
		}
	}
	r.Admitted[name] = tokens
}

// compact replaces the names of workspaces in a report by indices, as far as the list has them.
func (l *workspaceList) compact(r *peerv1.FrontReport) {
	if l == nil {
		return
	}
	admitted := r.Admitted
	r.Admitted = map[string]int64{}
	for name, tokens := range admitted {
		l.addAdmitted(r, name, tokens)
	}
}

// expandAll replaces the indices in reports by names. It leaves out reports with indices that the list does not have, so that
// their senders send them again.
func (l *workspaceList) expandAll(reports []*peerv1.FrontReport) []*peerv1.FrontReport {
	readable := make([]*peerv1.FrontReport, 0, len(reports))
	for _, r := range reports {
		if l.expand(r) {
			readable = append(readable, r)
		}
	}
	return readable
}

func (l *workspaceList) expand(r *peerv1.FrontReport) bool {
	pairs := r.AdmittedByIndex
	if len(pairs) == 0 {
		return true
	}
	if l == nil || len(pairs)%2 != 0 {
		return false
	}
	if r.Admitted == nil {
		r.Admitted = make(map[string]int64, len(pairs)/2)
	}
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i] < 0 || pairs[i] >= int64(len(l.names)) {
			return false
		}
		r.Admitted[l.names[pairs[i]]] = pairs[i+1]
	}
	r.AdmittedByIndex = nil
	return true
}
