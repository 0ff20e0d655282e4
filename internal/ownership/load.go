package ownership

import "github.com/chicorylug/chicorylug/internal/model"

// LoadReport is the load of one server as its dispatcher measured it.
type LoadReport struct {
	Server model.ServerRef `json:"server"`
	// Shards lists shards with work, in requests a second.
	Shards []ShardLoad `json:"shards,omitempty"`
	// HotKeyLoads lists the hottest single keys.
	HotKeyLoads []KeyLoad `json:"hot,omitempty"`
}

// ShardLoad is the rate of one shard, in requests a second.
type ShardLoad struct {
	Shard model.ShardID `json:"shard"`
	Rate  float64       `json:"rate"`
}

// KeyLoad is the rate of one key, in requests a second.
type KeyLoad struct {
	Key   model.Key     `json:"key"`
	Shard model.ShardID `json:"shard"`
	Rate  float64       `json:"rate"`
}
