package fleet

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// zoneMap tells the zone of each address (ip:port).
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
