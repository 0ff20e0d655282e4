package ownership

import "github.com/chicorylug/chicorylug/internal/model"

// LoadReport is the load of one server as measured by its dispatcher.
type LoadReport struct {
	Server model.ServerRef `json:"server"`
	// Shards lists the shards that had requests.
	Shards []ShardLoad `json:"shards,omitempty"`
	// HotKeyLoads lists the keys with the highest rates.
	HotKeyLoads []KeyLoad `json:"hot,omitempty"`
}

// ShardLoad is the load of one shard. Rate is in requests per second.
type ShardLoad struct {
	Shard model.ShardID `json:"shard"`
	Rate  float64       `json:"rate"`
}

// KeyLoad is the load of one key. Rate is in requests per second.
type KeyLoad struct {
	Key   model.Key     `json:"key"`
	Shard model.ShardID `json:"shard"`
	Rate  float64       `json:"rate"`
}
