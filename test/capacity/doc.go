// Package capacity measures how the cost of the control plane scales: complete hosts with in-memory stand-ins on the
// fake clock of testing/synctest, the configuration at its target size, and single components. Each series has several
// points and a line fitted to them. Run it with make capacity; docs/CAPACITY.md uses its figures.
package capacity
