package main

import (
	"go.uber.org/zap"
)

// maxShrinkRuns bounds the runs of one search for a shorter plan.
const maxShrinkRuns = 40

// shrink drops events from a failing plan, in halves, quarters and so on down to single
// ones, while the rest still breaks the same promise.
func shrink(p Plan, promise string, run func(Plan) (*Verdict, error), log *zap.Logger) (Plan, error) {
	runs := 0
	for size := (len(p.Events) + 1) / 2; size > 0; size /= 2 {
		for from := 0; from < len(p.Events) && runs < maxShrinkRuns; {
			runs++
			shorter := p.Without(from, min(from+size, len(p.Events)))
			v, err := run(shorter)
			if err != nil {
				return p, err
			}
			if !v.breaks(promise) {
				from += size
				continue
			}
			p = shorter
			log.Info("shorter plan fails too", zap.Int("events", len(p.Events)), zap.String("promise", promise))
		}
	}
	return p, nil
}

// breaks reports whether the run broke a promise.
func (v *Verdict) breaks(promise string) bool {
	for _, b := range v.Broken {
		if b.Promise == promise {
			return true
		}
	}
	return false
}
