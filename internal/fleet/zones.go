package fleet

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// zoneMap maps addresses (ip:port) to availability zones. It is safe for concurrent use.
type zoneMap struct {
	zones sync.Map
}

func (z *zoneMap) set(address string, zone model.Zone) { z.zones.Store(address, zone) }

func (z *zoneMap) get(address string) (model.Zone, bool) {
	zone, ok := z.zones.Load(address)
	if !ok {
		return "", false
	}
	return zone.(model.Zone), true
}
