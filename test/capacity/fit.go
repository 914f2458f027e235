package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"syscall"
	"time"
)

// Point is one measurement: the cost Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one cost as a function of one size, with the least-squares line Y = Base + Slope*X.
type Series struct {
	Name   string  `json:"name"`
	XUnit  string  `json:"x_unit"`
	YUnit  string  `json:"y_unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Error is the largest deviation of a point from the line, as a fraction of the largest value.
	Error float64 `json:"error"`
}

// fit computes the line of a series. If all points have the same X, the slope is zero.
func (s *Series) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, top float64
	for _, p := range s.Points {
		sx, sy, sxx, sxy = sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
		top = max(top, math.Abs(p.Y))
	}
	if d := n*sxx - sx*sx; d > 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.Base = (sy - s.Slope*sx) / n
	for _, p := range s.Points {
		if top > 0 {
			s.Error = max(s.Error, math.Abs(p.Y-s.Base-s.Slope*p.X)/top)
		}
	}
}

// Report collects series in the order in which they are first added.
type Report struct {
	Series []*Series `json:"series"`
}

// Add adds a point to the series of that name, and creates the series if it does not exist.
func (r *Report) Add(name, xUnit, yUnit string, x, y float64) {
	for _, s := range r.Series {
		if s.Name == name {
			s.Points = append(s.Points, Point{x, y})
			return
		}
	}
	r.Series = append(r.Series, &Series{Name: name, XUnit: xUnit, YUnit: yUnit, Points: []Point{{x, y}}})
}

// Fit computes the lines of all series. Call it once, after the last Add.
func (r *Report) Fit() {
	for _, s := range r.Series {
		s.fit()
	}
}

// Get returns a series by name, or nil.
func (r *Report) Get(name string) *Series {
	for _, s := range r.Series {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Table prints the series as a Markdown table.
func (r *Report) Table(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| series | points | line | largest error |\n|---|---|---|---|"); err != nil {
		return err
	}
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.4g: %.4g", p.X, p.Y))
		}
		if _, err := fmt.Fprintf(w, "| %s, %s against %s | %s | %.4g + %.4g x | %.1f%% |\n",
			s.Name, s.YUnit, s.XUnit, strings.Join(points, ", "), s.Base, s.Slope, 100*s.Error); err != nil {
			return err
		}
	}
	return nil
}

// JSON writes the report as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// cpuTime returns the CPU time that this process has used so far, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
