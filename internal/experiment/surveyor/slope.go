package surveyor

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// A Point holds the measurements at one value of X. Times are in seconds, sizes in
// bytes.
type Point struct {
	X       float64 `json:"x"`
	CPU     float64 `json:"cpu"`     // cores used, per instance
	Memory  float64 `json:"memory"`  // heap in use, per instance
	Peers   float64 `json:"peers"`   // bytes per second to peers, per instance
	Reads   float64 `json:"reads"`   // reads of the platform per second, per instance
	Commits float64 `json:"commits"` // commits to the table per second, per instance
	Bytes   float64 `json:"bytes"`   // exchanged with the platform per second, per instance
}

// A Slope is a series of points with a linear fit of each metric.
type Slope struct {
	Name   string         `json:"name"`
	Over   string         `json:"over"` // what X counts
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"` // by metric
}

// A Fit is the linear regression Intercept + PerUnit*X with its coefficient of
// determination.
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
		intercept, perUnit := stat.LinearRegression(xs, ys, nil, false)
		s.Fits[name] = Fit{Intercept: intercept, PerUnit: perUnit, R2: stat.RSquared(xs, ys, nil, intercept, perUnit)}
	}
}

// Values returns the value of a metric at each point, for display.
func (s *Slope) Values(metric string) []string {
	values := make([]string, len(s.Points))
	for i := range s.Points {
		values[i] = fmt.Sprintf("%v:%.4g", s.Points[i].X, metrics[metric](&s.Points[i]))
	}
	return values
}
