// Package placement chooses servers for shards and daemons for servers. It is
// pure: the same input gives the same output on every daemon.
package placement

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Score returns the rendezvous weight of a candidate for a subject.
func Score(subject, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(subject)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// WeightedScore is a Score under which a candidate comes first, among others, as
// often as its weight says.
func WeightedScore(subject, candidate string, weight float64) float64 {
	drawn := (float64(Score(subject, candidate)) + 1) / (math.MaxUint64 + 2.0)
	return weight / -math.Log(drawn)
}

// HighestScoring returns the candidate with the highest score, or "" when there is none.
func HighestScoring(subject string, candidates []string) string {
	best := ""
	var bestScore uint64
	for _, candidate := range candidates {
		if score := Score(subject, candidate); best == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// subject names a shard in rendezvous scores.
func subject(pool model.PoolName, shard model.ShardID) string {
	return string(pool) + "/" + strconv.Itoa(int(shard))
}
