package exchange

import "iter"

// changeLog holds the names of counters in the order of their last change, so that finding those that changed after a
// position takes time in proportion to their number, and not to that of all workspaces.
type changeLog struct {
	positions map[string]uint64
	// changes is sorted by position. An item is outdated if its name has changed again.
	changes []change
}

type change struct {
	name     string
	position uint64
}

// add records a change at a position, which must not be lower than those before.
func (l *changeLog) add(name string, position uint64) {
	if l.positions == nil {
		l.positions = map[string]uint64{}
	}
	l.positions[name] = position
	l.changes = append(l.changes, change{name, position})
	if len(l.changes) > 2*len(l.positions)+64 {
		kept := l.changes[:0]
		for _, c := range l.changes {
			if l.positions[c.name] == c.position {
				kept = append(kept, c)
			}
		}
		l.changes = kept
	}
}

// since returns the names that changed after a position.
func (l *changeLog) since(position uint64) iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := len(l.changes) - 1; i >= 0 && l.changes[i].position > position; i-- {
			if c := l.changes[i]; l.positions[c.name] == c.position && !yield(c.name) {
				return
			}
		}
	}
}
