package serverspeed

import (
	"math"
	"time"
)

// mean is an average whose samples lose weight with time.
type mean struct {
	sum, weight float64
	at          time.Time
}

// decay takes the weight off that was lost until now.
func (m *mean) decay(now time.Time, memory time.Duration) {
	if passed := now.Sub(m.at); passed > 0 {
		if m.weight > 0 {
			factor := math.Exp(-passed.Seconds() / memory.Seconds())
			m.sum *= factor
			m.weight *= factor
		}
		m.at = now
	}
}

// add adds a sample.
func (m *mean) add(value, weight float64, now time.Time, memory time.Duration) {
	m.decay(now, memory)
	m.sum += weight * value
	m.weight += weight
}

// limit takes weight off beyond a number of samples.
func (m *mean) limit(samples float64) {
	if m.weight > samples {
		m.sum *= samples / m.weight
		m.weight = samples
	}
}

// value returns the average, drawn to zero as by prior samples of zero.
func (m *mean) value(prior float64) float64 {
	if m.weight+prior <= 0 {
		return 0
	}
	return m.sum / (m.weight + prior)
}

// toward returns the average, drawn to an expected value as by samples of it.
func (m *mean) toward(expected, samples float64) float64 {
	return (m.sum + samples*expected) / (m.weight + samples)
}

// slope estimates by how much a value rises with another one, from samples that lose weight
// with time. Without samples it is its prior.
type slope struct {
	products mean // its sum is that of products, its weight that of squares
}

// add adds a sample: at x, the value was y.
func (s *slope) add(x, y float64, now time.Time, memory time.Duration) {
	s.products.decay(now, memory)
	s.products.sum += x * y
	s.products.weight += x * x
}

// value returns the slope within bounds. The prior counts as much as samples whose squares
// sum up to priorWeight.
func (s *slope) value(prior, priorWeight, least, most float64) float64 {
	estimate := (s.products.sum + priorWeight*prior) / (s.products.weight + priorWeight)
	return min(max(estimate, least), most)
}
