package surveyor

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// A Point is what was measured at one size. Times are in seconds, sizes in
// bytes.
type Point struct {
	X       float64 `json:"x"`
	CPU     float64 `json:"cpu"`     // of a core, for each instance
	Memory  float64 `json:"memory"`  // heap in use, for each instance
	Peers   float64 `json:"peers"`   // bytes a second to peers, for each instance
	Reads   float64 `json:"reads"`   // of the platform a second, for each instance
	Commits float64 `json:"commits"` // of the table a second, for each instance
	Bytes   float64 `json:"bytes"`   // from and to the platform a second, for each instance
}

// A Slope is a series of points with a straight line through each figure.
type Slope struct {
	Name   string         `json:"name"`
	Over   string         `json:"over"` // what X counts
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"` // by figure
}

// A Fit is a straight line: At0 + Each*X, with the part of the variance that
// it explains.
type Fit struct {
	Intercept float64 `json:"at0"`
	PerUnit   float64 `json:"each"`
	R2        float64 `json:"r2"`
}

func (s *Slope) fit() {
	s.Fits = make(map[string]Fit)
	xs := make([]float64, len(s.Points))
	for i := range s.Points {
		xs[i] = s.Points[i].X
	}
	for name, metric := range metrics {
		ys := make([]float64, len(s.Points))
		for i := range s.Points {
			ys[i] = metric(&s.Points[i])
		}
		at0, each := stat.LinearRegression(xs, ys, nil, false)
		s.Fits[name] = Fit{Intercept: at0, PerUnit: each, R2: stat.RSquared(xs, ys, nil, at0, each)}
	}
}

// Values returns the figure's value at each point, for display.
func (s *Slope) Values(metric string) []string {
	values := make([]string, len(s.Points))
	for i := range s.Points {
		values[i] = fmt.Sprintf("%v:%.4g", s.Points[i].X, metrics[metric](&s.Points[i]))
	}
	return values
}
