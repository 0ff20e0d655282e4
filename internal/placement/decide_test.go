package placement_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

func drawInput(t *rapid.T) placement.Input {
	in := placement.Input{
		Pool:       "drafts",
		MoveBudget: rapid.IntRange(0, 8).Draw(t, "budget"),
		Weights:    placement.Weights{Imbalance: 1, Churn: rapid.Float64Range(0, 5).Draw(t, "churn"), Unavailable: 1},
	}
	servers := rapid.IntRange(1, 15).Draw(t, "servers")
	for i := range servers {
		weight := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 1, 1}).Draw(t, "weight")
		in.Servers = append(in.Servers, placement.Server{ID: serverID(i), Weight: weight})
	}
	for i := range rapid.IntRange(1, 128).Draw(t, "shards") {
		shard := placement.Shard{ID: model.ShardID(i), Load: rapid.Float64Range(0, 100).Draw(t, "load"), Moving: rapid.IntRange(0, 9).Draw(t, "moving") == 0}
		if owner := rapid.IntRange(-1, servers).Draw(t, "owner"); owner >= 0 {
			shard.Owner = serverID(owner)
		}
		in.Shards = append(in.Shards, shard)
	}
	return in
}

func serverID(i int) model.ServerID { return model.ServerID(fmt.Sprintf("s%d", i)) }

func serverWeights(in placement.Input) map[model.ServerID]float64 {
	byID := map[model.ServerID]float64{}
	for _, server := range in.Servers {
		byID[server.ID] = server.Weight
	}
	return byID
}

func TestEveryShardGetsAnEligibleServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		weights := serverWeights(in)
		eligible := 0
		for _, weight := range weights {
			if weight > 0 {
				eligible++
			}
		}
		owners := applyMoves(in, placement.Decide(in))
		for i, shard := range in.Shards {
			must.True(t, shard.Moving || eligible == 0 || weights[owners[i]] > 0)
		}
	})
}

func applyMoves(in placement.Input, moves []placement.Move) []model.ServerID {
	owners := make([]model.ServerID, len(in.Shards))
	for i, shard := range in.Shards {
		owners[i] = shard.Owner
	}
	for _, move := range moves {
		owners[move.Shard] = move.To
	}
	return owners
}

func TestMovesRespectBudgetAndMovingShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		weights := serverWeights(in)
		seen := map[model.ShardID]bool{}
		rebalanceMoves := 0
		for _, move := range placement.Decide(in) {
			shard := in.Shards[move.Shard]
			must.False(t, shard.Moving)
			must.False(t, seen[move.Shard])
			must.Eq(t, shard.Owner, move.From)
			must.NotEq(t, move.From, move.To)
			must.Greater(t, 0.0, weights[move.To])
			seen[move.Shard] = true
			if weights[move.From] > 0 {
				rebalanceMoves++
			}
		}
		must.LessEq(t, in.MoveBudget, rebalanceMoves)
	})
}

func TestRepeatedDecisionsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		in.MoveBudget = max(in.MoveBudget, 1)
		for range 10 * len(in.Shards) {
			moves := placement.Decide(in)
			if len(moves) == 0 {
				return
			}
			for i, owner := range applyMoves(in, moves) {
				in.Shards[i].Owner = owner
			}
		}
		t.Fatal("shards still move without a change of load")
	})
}

func TestTheSameInputGivesTheSameMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		must.Eq(t, placement.Decide(in), placement.Decide(in))
	})
}

func TestLargerChurnWeightGivesFewerMoves(t *testing.T) {
	in := placement.Input{Pool: "holdings", MoveBudget: 100, Weights: placement.Weights{Imbalance: 1}}
	for i := range 4 {
		in.Servers = append(in.Servers, placement.Server{ID: serverID(i), Weight: 1})
	}
	for i := range 64 {
		in.Shards = append(in.Shards, placement.Shard{ID: model.ShardID(i), Owner: serverID(i * i % 7 % 4), Load: float64(1 + i%5)})
	}
	movesWithoutChurnCost := len(placement.Decide(in))
	in.Weights.Churn = 10
	must.Less(t, movesWithoutChurnCost, len(placement.Decide(in)))
}
