// Package capacity measures how the cost of the control plane grows: whole hosts over in-memory stand-ins on the
// fake clock of testing/synctest, the configuration at its target size, and single parts. Each series has several
// points and a straight line through them. Run it with make capacity; docs/CAPACITY.md uses its figures.
package capacity
