package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// ownersTopic begins the names of the records that hold the owners of keys:
// "owners/SERVICE" in the first era, "owners@ERA/SERVICE" in later ones.
const ownersTopic = "owners"

// OwnersRecordName returns the name of the record that holds the owners of a service's
// keys in an era. Each era has a record of its own, so that a keeper that has not heard
// of a new era cannot replace the record of that era: its write is conditional on a
// revision that may name another change now.
func OwnersRecordName(service model.PoolName, era platform.Era) string {
	if era <= platform.FirstEra {
		return ownersTopic + "/" + string(service)
	}
	return ownersTopic + "@" + strconv.FormatUint(uint64(era), 10) + "/" + string(service)
}

// parseOwnersRecordName returns the era of a record that holds the owners of keys. It
// reports false for other records.
func parseOwnersRecordName(name string) (platform.Era, bool) {
	topic, _, ok := strings.Cut(name, "/")
	if !ok {
		return 0, false
	}
	if topic == ownersTopic {
		return platform.FirstEra, true
	}
	number, ok := strings.CutPrefix(topic, ownersTopic+"@")
	if !ok {
		return 0, false
	}
	era, err := strconv.ParseUint(number, 10, 64)
	return platform.Era(era), err == nil && platform.Era(era) > platform.FirstEra
}

// maxOwnersBytes bounds the decompressed size of a record, against corrupt or hostile ones.
const maxOwnersBytes = 16 << 20

// wireOwners is the stored form of a service's owners: JSON, compressed with DEFLATE.
// Each change is sent to all daemons, so the ranges are stored as columns, which
// compress better than one object a range. The columns are of equal length, with one
// entry for each range. The ranges are contiguous from key 0 on; keys without an owner
// are a range of noOwner. The encoded names are kept for daemons of other builds.
type wireOwners struct {
	Service               model.PoolName    `json:"service"`
	Keeper                model.DaemonID    `json:"keeper"`
	KeeperIncarnation     model.Incarnation `json:"keeper_life"`
	Term                  model.Term        `json:"term"`
	EarlierKeeperMayRenew bool              `json:"unheard,omitempty"`
	Uncertain             bool              `json:"uncertain,omitempty"`
	Load                  []int             `json:"load,omitempty"`
	Servers               []wireOwner       `json:"servers"`
	RangeKeys             []int             `json:"keys"`   // number of keys in the range
	RangeOwners           []int             `json:"owner"`  // index of the owner in Servers, or noOwner
	RangeFences           []catalog.Fence   `json:"fences"` // fence of the range, 0 without an owner
}

// wireOwner is one process of a server.
type wireOwner struct {
	ID        model.ServerID `json:"id"`
	StartedMS int64          `json:"born"`
}

// noOwner is the index in RangeOwners of a range that no server owns.
const noOwner = -1

// EncodeOwners returns the value of the record that holds the owners. The ranges must be in
// the order of their keys and must not overlap.
func EncodeOwners(o *catalog.Owners) ([]byte, error) {
	w := wireOwners{
		Service: o.Service, Keeper: o.Keeper, KeeperIncarnation: o.KeeperIncarnation, Term: o.Term,
		EarlierKeeperMayRenew: o.EarlierKeeperMayRenew, Uncertain: o.Uncertain, Load: o.Load,
	}
	indexes := map[wireOwner]int{}
	next := 0
	for _, r := range o.Ranges {
		if r.From > next {
			w.addRange(r.From-next, noOwner, 0)
		}
		owner := wireOwner{ID: r.Server, StartedMS: r.StartedMS}
		index, known := indexes[owner]
		if !known {
			index = len(w.Servers)
			indexes[owner] = index
			w.Servers = append(w.Servers, owner)
		}
		w.addRange(r.Keys(), index, r.Fence)
		next = r.To + 1
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "owners: compress")
	}
	if err := json.NewEncoder(writer).Encode(w); err != nil {
		return nil, errors.Wrap(err, "owners: encode")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "owners: compress")
	}
	return compressed.Bytes(), nil
}

func (w *wireOwners) addRange(keys, owner int, fence catalog.Fence) {
	w.RangeKeys = append(w.RangeKeys, keys)
	w.RangeOwners = append(w.RangeOwners, owner)
	w.RangeFences = append(w.RangeFences, fence)
}

// DecodeOwners returns the owners of a service from their record, with the position of the
// record in the era that it was written for. It returns an error for a record that is
// corrupt, whose ranges are invalid, or that has another name than its contents require.
func DecodeOwners(record platform.Record) (*catalog.Owners, error) {
	era, ok := parseOwnersRecordName(record.Name)
	if !ok {
		return nil, errors.Errorf("record %s does not hold owners", record.Name)
	}
	var w wireOwners
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(record.Value)), maxOwnersBytes)
	if err := json.NewDecoder(reader).Decode(&w); err != nil {
		return nil, errors.Wrapf(err, "owners at revision %d: decode", record.Revision)
	}
	o := &catalog.Owners{
		Service: w.Service, Keeper: w.Keeper, KeeperIncarnation: w.KeeperIncarnation, Term: w.Term,
		Position:              platform.Position{Era: era, Revision: record.Revision},
		EarlierKeeperMayRenew: w.EarlierKeeperMayRenew, Uncertain: w.Uncertain, Load: w.Load,
	}
	if want := OwnersRecordName(w.Service, era); record.Name != want {
		return nil, errors.Errorf("owners at revision %d: the record is named %s, want %s", record.Revision, record.Name, want)
	}
	if len(w.RangeOwners) != len(w.RangeKeys) || len(w.RangeFences) != len(w.RangeKeys) {
		return nil, errors.Errorf("owners at revision %d: columns differ in length: %d ranges, %d owners, %d fences", record.Revision, len(w.RangeKeys), len(w.RangeOwners), len(w.RangeFences))
	}
	from := 0
	for i, keys := range w.RangeKeys {
		to := from + keys - 1
		if keys < 1 || to > catalog.LastKey || w.RangeOwners[i] >= len(w.Servers) {
			return nil, errors.Errorf("owners at revision %d: range %d is invalid: first key %d, %d keys, owner %d of %d", record.Revision, i, from, keys, w.RangeOwners[i], len(w.Servers))
		}
		if w.RangeOwners[i] >= 0 {
			owner := w.Servers[w.RangeOwners[i]]
			o.Ranges = append(o.Ranges, catalog.Range{From: from, To: to, Server: owner.ID, StartedMS: owner.StartedMS, Fence: w.RangeFences[i]})
		}
		from = to + 1
	}
	return o, nil
}

// applyOwners publishes the owners of a service from their record of an era. A record of
// an earlier era than the store's is used only if none of that era or a later one is
// known: the store came back with an older copy of it, or a keeper that has not heard of
// the new era wrote it.
func (f *Follower) applyOwners(era platform.Era, record platform.Record) {
	owners, err := DecodeOwners(record)
	if err != nil {
		f.log.Error("owners record could not be decoded", zap.String("record", record.Name), zap.Error(err))
		return
	}
	held := f.catalog.Load().Owners[owners.Service]
	if held != nil && era < record.Era && era <= held.Era {
		f.log.Info("owners record of an earlier era ignored", zap.String("record", record.Name),
			zap.Uint64("revision", uint64(owners.Revision)), zap.Uint64("era", uint64(record.Era)))
		return
	}
	if f.catalog.PublishOwners(owners) {
		f.log.Info("owners updated", zap.String("service", string(owners.Service)), zap.Uint64("revision", uint64(owners.Revision)),
			zap.Uint64("era", uint64(owners.Era)), zap.String("keeper", string(owners.Keeper)),
			zap.Uint64("term", uint64(owners.Term)), zap.Int("ranges", len(owners.Ranges)))
	}
}
