package rules

// Change is a rule that is in both files but differs.
type Change struct {
	Old, New Rule
}

// Diff is the difference between two sets of rules, matched by ID.
type Diff struct {
	// Added and Changed are in the order of the new set, Removed is in the order of the old one.
	Added, Removed []Rule
	Changed        []Change
}

// Empty reports whether no rule differs.
func (d Diff) Empty() bool { return len(d.Added)+len(d.Removed)+len(d.Changed) == 0 }

// Compare returns the difference between two sets of rules. A rule that only moved to another line is unchanged. A
// different person or reason is a change, because charges name them.
func Compare(old, updated []Rule) Diff {
	var d Diff
	before := make(map[string]Rule, len(old))
	for _, r := range old {
		before[r.ID()] = r
	}
	for _, r := range updated {
		was, ok := before[r.ID()]
		switch {
		case !ok:
			d.Added = append(d.Added, r)
		case !sameRule(was, r):
			d.Changed = append(d.Changed, Change{Old: was, New: r})
		}
		delete(before, r.ID())
	}
	for _, r := range old {
		if _, ok := before[r.ID()]; ok {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

func sameRule(a, b Rule) bool {
	x, y := a.Source(), b.Source()
	if x.Who != y.Who || x.Why != y.Why {
		return false
	}
	if x.Text == y.Text && x.Text != "" {
		return true
	}
	// The same rule can be written in several ways, so the canonical forms are compared.
	s, errA := FormatRule(a)
	t, errB := FormatRule(b)
	return errA == nil && errB == nil && s == t
}
