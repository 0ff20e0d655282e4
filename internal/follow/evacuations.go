package follow

import (
	"fmt"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

const (
	// endedEvacuationMemory is the time for which evacuations that were taken back stay in the
	// catalog: the servers of the zone may have become cold meanwhile.
	endedEvacuationMemory = 10 * time.Second
	// lostEvacuationGrace is the time for which an evacuation stays in force that the store
	// has lost, so that operators can ask for it again.
	lostEvacuationGrace = 10 * time.Second
	// maxEvacuations bounds the number of evacuations that a daemon keeps, and that of the
	// zones with gauges.
	maxEvacuations = 256
)

// evacuations are the evacuations that this daemon has heard of, with those that ended less
// than endedEvacuationMemory ago.
type evacuations struct {
	registry *metrics.Registry
	catalog  *catalog.Catalog
	byZone   map[model.Zone]catalog.Evacuation
	measured map[model.Zone]bool // zones with gauges, which stay
}

func newEvacuations(registry *metrics.Registry, cat *catalog.Catalog) *evacuations {
	e := &evacuations{registry: registry, catalog: cat, byZone: map[model.Zone]catalog.Evacuation{}, measured: map[model.Zone]bool{}}
	registry.Gauge(`evacuated_zones`, func() float64 { return float64(inForce(cat.Load().Evacuations)) })
	return e
}

// inForce counts the evacuations that are in force.
func inForce(all map[model.Zone]catalog.Evacuation) int {
	count := 0
	for _, e := range all {
		if e.InForce() {
			count++
		}
	}
	return count
}

// set replaces an evacuation and publishes all of them.
func (e *evacuations) set(evacuation catalog.Evacuation) {
	e.measure(evacuation.Zone)
	e.byZone[evacuation.Zone] = evacuation
	e.catalog.PublishEvacuations(maps.Clone(e.byZone))
}

// forget removes an evacuation and publishes the others.
func (e *evacuations) forget(zone model.Zone) {
	delete(e.byZone, zone)
	e.catalog.PublishEvacuations(maps.Clone(e.byZone))
}

// measure registers the gauges of a zone: how long it has been evacuated, and by which
// revision. Both are zero while it is not. Zones beyond the first maxEvacuations have none.
func (e *evacuations) measure(zone model.Zone) {
	if e.measured[zone] || len(e.measured) >= maxEvacuations {
		return
	}
	e.measured[zone] = true
	e.registry.Gauge(fmt.Sprintf(`zone_evacuated_seconds{zone=%q}`, zone), func() float64 {
		if evacuation := e.catalog.Load().Evacuations[zone]; evacuation.InForce() {
			return time.Since(evacuation.Since).Seconds()
		}
		return 0
	})
	e.registry.Gauge(fmt.Sprintf(`zone_evacuated_revision{zone=%q}`, zone), func() float64 {
		if evacuation := e.catalog.Load().Evacuations[zone]; evacuation.InForce() {
			return float64(evacuation.Revision)
		}
		return 0
	})
}

// applyEvacuations publishes the evacuations among changed records. It runs on the control
// goroutine.
func (f *Follower) applyEvacuations(changed []change) {
	for _, record := range changed {
		zone, asked := f.dialect.EvacuatedZone(record.Name)
		switch {
		case !asked:
		case record.Deleted && record.acrossEras:
			f.awaitEvacuation(zone, record)
		case record.Deleted:
			f.endEvacuation(zone, record.Record)
		default:
			f.beginEvacuation(zone, record)
		}
	}
}

// beginEvacuation publishes an evacuation. One that is in force already and was asked for
// again stays as it is, at the later position.
func (f *Follower) beginEvacuation(zone model.Zone, record change) {
	evacuation, known := f.evacuations.byZone[zone]
	if !known && len(f.evacuations.byZone) >= maxEvacuations {
		f.log.Error("evacuation ignored, too many zones are evacuated", zap.String("zone", string(zone)), zap.Int("limit", maxEvacuations))
		return
	}
	evacuation.Position = record.Position
	if evacuation.InForce() {
		f.evacuations.set(evacuation)
		return
	}
	now := time.Now()
	f.evacuations.set(catalog.Evacuation{Zone: zone, Position: record.Position, Since: now, NotBefore: record.notBefore})
	fields := []zap.Field{
		zap.String("zone", string(zone)), zap.Uint64("revision", uint64(record.Revision)), zap.Uint64("era", uint64(record.Era)),
		zap.Int("servers", f.serversIn(zone)),
	}
	if !record.notBefore.IsZero() {
		fields = append(fields, zap.Duration("copy_age", now.Sub(record.notBefore)))
	}
	if f.isUnknownZone(zone) {
		f.log.Warn("evacuation of an availability zone that is not known", fields...)
		return
	}
	f.log.Info("availability zone evacuated", fields...)
}

// serversIn counts the registered servers of a zone.
func (f *Follower) serversIn(zone model.Zone) int {
	count := 0
	for _, server := range f.servers {
		if server.Zone == zone {
			count++
		}
	}
	return count
}

// isUnknownZone reports whether neither the settings nor a server name the zone, although
// both are known.
func (f *Follower) isUnknownZone(zone model.Zone) bool {
	_, named := f.config.Fenced.ZoneRegions[zone]
	return !named && len(f.servers) > 0 && f.serversIn(zone) == 0
}

// endEvacuation publishes that an evacuation was taken back, and forgets it later.
func (f *Follower) endEvacuation(zone model.Zone, record platform.Record) {
	evacuation := f.evacuations.byZone[zone]
	if !evacuation.InForce() {
		return
	}
	evacuation.Ended = time.Now()
	evacuation.Position = record.Position
	f.evacuations.set(evacuation)
	f.log.Info("evacuation of the availability zone taken back", zap.String("zone", string(zone)),
		zap.Uint64("revision", uint64(record.Revision)), zap.Uint64("era", uint64(record.Era)),
		zap.Duration("after", evacuation.Ended.Sub(evacuation.Since)))
	f.afterOnLoop(endedEvacuationMemory, func() {
		if f.evacuations.byZone[zone] == evacuation {
			f.evacuations.forget(zone)
		}
	})
}

// awaitEvacuation ends an evacuation that the store has lost, as it came back from an older
// copy, unless it is asked for again within lostEvacuationGrace.
func (f *Follower) awaitEvacuation(zone model.Zone, record change) {
	if !f.evacuations.byZone[zone].InForce() {
		return
	}
	f.log.Warn("evacuation missing in the older copy of the store, it stays in force for a time", zap.String("zone", string(zone)),
		zap.Uint64("era", uint64(record.Era)), zap.Duration("for", lostEvacuationGrace))
	f.afterOnLoop(lostEvacuationGrace, func() {
		current, known := f.replicas[platform.Configurations].record(record.Name)
		if known && current.Deleted {
			f.endEvacuation(zone, current)
		}
	})
}
