package follow

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// ownersPrefix begins the names of the records with the owners of keys.
const ownersPrefix = "owners/"

// OwnersName returns the name of the record with the owners of a service's keys.
func OwnersName(service model.PoolName) string { return ownersPrefix + string(service) }

// ownersBytes bounds a decoded record, against one that is not what it seems.
const ownersBytes = 16 << 20

// wireOwners is the record of a service's owners. All daemons get each change of
// it, so the ranges are written in columns, which compress well.
type wireOwners struct {
	Service    model.PoolName    `json:"service"`
	Keeper     model.DaemonID    `json:"keeper"`
	KeeperLife model.Incarnation `json:"keeper_life"`
	Term       model.Term        `json:"term"`
	Unheard    bool              `json:"unheard,omitempty"`
	Load       []int             `json:"load,omitempty"`
	Servers    []wireOwner       `json:"servers"`
	Keys       []int             `json:"keys"`   // number of keys in each run, from key 0 on
	Owner      []int             `json:"owner"`  // place in Servers of each run's owner, or nobody
	Fences     []catalog.Fence   `json:"fences"` // of each run
}

// wireOwner is one life of a server.
type wireOwner struct {
	ID   model.ServerID `json:"id"`
	Born int64          `json:"born"`
}

const nobody = -1

// EncodeOwners writes the owners of a service.
func EncodeOwners(o *catalog.Owners) ([]byte, error) {
	w := wireOwners{Service: o.Service, Keeper: o.Keeper, KeeperLife: o.KeeperIncarnation, Term: o.Term, Unheard: o.EarlierKeeperMayRenew, Load: o.Load}
	places := map[wireOwner]int{}
	next := 0
	for _, r := range o.Ranges {
		if r.From > next {
			w.add(r.From-next, nobody, 0)
		}
		owner := wireOwner{ID: r.Server, Born: r.StartedMS}
		place, known := places[owner]
		if !known {
			place = len(w.Servers)
			places[owner] = place
			w.Servers = append(w.Servers, owner)
		}
		w.add(r.Keys(), place, r.Fence)
		next = r.To + 1
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "owners: compress")
	}
	if err := json.NewEncoder(writer).Encode(w); err != nil {
		return nil, errors.Wrap(err, "owners: encode")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "owners: compress")
	}
	return packed.Bytes(), nil
}

func (w *wireOwners) add(keys, owner int, fence catalog.Fence) {
	w.Keys = append(w.Keys, keys)
	w.Owner = append(w.Owner, owner)
	w.Fences = append(w.Fences, fence)
}

// DecodeOwners reads the owners of a service from their record.
func DecodeOwners(record platform.Record) (*catalog.Owners, error) {
	var w wireOwners
	reader := io.LimitReader(flate.NewReader(bytes.NewReader(record.Value)), ownersBytes)
	if err := json.NewDecoder(reader).Decode(&w); err != nil {
		return nil, errors.Wrapf(err, "owners at revision %d: decode", record.Revision)
	}
	o := &catalog.Owners{
		Service: w.Service, Revision: uint64(record.Revision), Keeper: w.Keeper, KeeperIncarnation: w.KeeperLife,
		Term: w.Term, EarlierKeeperMayRenew: w.Unheard, Load: w.Load,
	}
	if len(w.Owner) != len(w.Keys) || len(w.Fences) != len(w.Keys) {
		return nil, errors.Errorf("owners at revision %d: columns of different lengths", record.Revision)
	}
	from := 0
	for i, keys := range w.Keys {
		to := from + keys - 1
		if keys < 1 || to > catalog.LastKey || w.Owner[i] >= len(w.Servers) {
			return nil, errors.Errorf("owners at revision %d: run %d is not one", record.Revision, i)
		}
		if w.Owner[i] >= 0 {
			owner := w.Servers[w.Owner[i]]
			o.Ranges = append(o.Ranges, catalog.Range{From: from, To: to, Server: owner.ID, StartedMS: owner.Born, Fence: w.Fences[i]})
		}
		from = to + 1
	}
	return o, nil
}
