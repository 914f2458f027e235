package bench

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/boragecourse/boragecourse/test/baseline"
)

// Policies lists all measured policies; the one of internal/placement comes first.
var Policies = []baseline.Policy{Reserving, baseline.RoundRobin, baseline.LeastLoad, baseline.Colocated}

// Matrix returns one case for each combination of fleet, load, fault, policy and seed. Seeds count from 1.
func Matrix(loads []float64, faults []Fault, seeds int) []Case {
	var out []Case
	for _, f := range Fleets() {
		for _, load := range loads {
			for _, fault := range faults {
				for _, p := range Policies {
					for seed := range seeds {
						out = append(out, Case{Fleet: f, Policy: p, Load: load, Fault: fault, Seed: uint64(seed + 1)})
					}
				}
			}
		}
	}
	return out
}

// Row is the mean over the seeds of one combination. Worst is the minimum over the seeds.
type Row struct {
	Fleet, Policy  string
	Load           float64
	Fault          Fault
	Seeds          int
	Goodput, Bound float64
	// Interactive is the goodput of the latency class alone.
	Interactive float64
	// Ratio is the goodput divided by that of the best baseline; zero in rows of baselines.
	Ratio  float64
	Wasted float64
	Worst  float64
	// WorstRequests counts requests where Worst counts tokens.
	WorstRequests float64
	Refused       float64
	Lost          float64
	Wrongful      float64
	FirstP95      float64
	// ControlBytes is in bytes per second and host, reservations included.
	ControlBytes float64
}

// Summarize averages outcomes over their seeds.
func Summarize(all []Outcome) []Row {
	var rows []Row
	byKey := map[string]int{}
	for _, o := range all {
		key := fmt.Sprint(o.Fleet, o.Policy, o.Load, o.Fault)
		i, ok := byKey[key]
		if !ok {
			i = len(rows)
			byKey[key] = i
			rows = append(rows, Row{Fleet: o.Fleet, Policy: string(o.Policy), Load: o.Load, Fault: o.Fault, Worst: o.Worst, WorstRequests: o.WorstRequests})
		}
		r := &rows[i]
		r.Seeds++
		n := float64(r.Seeds)
		mean := func(to *float64, v float64) { *to += (v - *to) / n }
		mean(&r.Goodput, o.Goodput)
		mean(&r.Interactive, o.Interactive)
		mean(&r.Bound, o.Bound)
		mean(&r.Wasted, o.Wasted)
		mean(&r.Refused, float64(o.Refused))
		mean(&r.Lost, float64(o.Lost))
		mean(&r.Wrongful, float64(o.Wrongful))
		mean(&r.FirstP95, o.FirstP95)
		mean(&r.ControlBytes, o.ControlBytes)
		r.Worst, r.WorstRequests = min(r.Worst, o.Worst), min(r.WorstRequests, o.WorstRequests)
	}
	for i := range rows {
		if rows[i].Policy == string(Reserving) {
			rows[i].Ratio = rows[i].Goodput / Best(rows, rows[i]).Goodput
		}
	}
	return rows
}

// Best returns the baseline row with the highest goodput for the same fleet, load and fault.
func Best(rows []Row, of Row) Row {
	return slices.MaxFunc(rows, func(a, b Row) int { return cmp.Compare(comparableGoodput(a, of), comparableGoodput(b, of)) })
}

// comparableGoodput returns the goodput of a baseline row for the same fleet, load and fault as row of, and -1 for all
// other rows.
func comparableGoodput(r, of Row) float64 {
	if r.Policy == string(Reserving) || r.Fleet != of.Fleet || r.Load != of.Load || r.Fault != of.Fault {
		return -1
	}
	return r.Goodput
}

// Table writes the rows as an aligned text table.
func Table(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "fleet\tload\tfault\tpolicy\tgoodput/s\tbound/s\tvs best\tinteractive/s\twasted %\tworst tokens\tworst requests\twrongful\trefused\tlost\tp95 ms\tB/s\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n", r.Fleet, r.Load, r.Fault, r.Policy,
			r.Goodput, r.Bound, r.Ratio, r.Interactive, 100*r.Wasted, r.Worst, r.WorstRequests, r.Wrongful, r.Refused, r.Lost, r.FirstP95, r.ControlBytes)
	}
	return t.Flush()
}

// JSON writes the rows as an indented JSON array.
func JSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(rows)
}
