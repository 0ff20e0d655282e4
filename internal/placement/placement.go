// Package placement assigns shards to backend servers and servers to the daemons
// that dispatch to them. Its functions are pure: the same input gives the same
// output on every daemon. Ties between candidates are broken by rendezvous hash or ID.
//
// A server is eligible when its weight is above zero; the weight of a leaving
// server, one that is about to shut down, is zero.
package placement

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Score returns the rendezvous hash of a candidate for a subject.
func Score(subject, candidate string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(subject)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// WeightedScore returns the score of a candidate in weighted rendezvous hashing:
// over many subjects, each candidate has the highest score in proportion to its
// weight.
func WeightedScore(subject, candidate string, weight float64) float64 {
	uniform := (float64(Score(subject, candidate)) + 1) / (math.MaxUint64 + 2.0)
	return weight / -math.Log(uniform)
}

// HighestScoring returns the candidate with the highest Score for the subject, or
// "" when there are no candidates.
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

// shardSubject returns the subject that stands for a shard in Score.
func shardSubject(pool model.PoolName, shard model.ShardID) string {
	return string(pool) + "/" + strconv.Itoa(int(shard))
}
