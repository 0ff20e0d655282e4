package experiment

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/examples"
	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// DeploymentName is the name of an example deployment.
type DeploymentName string

// Names of the example deployments.
const (
	Lagos  DeploymentName = "lagos"
	Taiwan DeploymentName = "taiwan"
)

// deployment is one example deployment at its current size. Its settings are read from
// the file with its name in the package examples.
type deployment struct {
	name      DeploymentName
	zones     []model.Zone
	zoneDelay time.Duration  // one-way network delay between two zones
	keyed     model.PoolName // the pool whose servers own keys exclusively; the first of servers
	servers   []fleet.PoolServers
	tree      *settings.Tree
}

func loadDeployment(name DeploymentName) (*deployment, error) {
	d, err := newDeployment(name)
	if err != nil {
		return nil, err
	}
	file, err := examples.Files.ReadFile(string(name) + ".jsonc")
	if err != nil {
		return nil, errors.Wrap(err, "read example settings")
	}
	d.tree, err = settings.Parse(file)
	return d, err
}

func newDeployment(name DeploymentName) (*deployment, error) {
	switch name {
	case Lagos:
		return &deployment{
			name:      Lagos,
			zones:     []model.Zone{"ikeja", "yaba", "lekki", "apapa"},
			zoneDelay: 500 * time.Microsecond,
			keyed:     "drafts",
			servers: []fleet.PoolServers{
				{Pool: "drafts", Count: 15}, {Pool: "sealing", Count: 9},
				{Pool: "plans", Count: 8}, {Pool: "archive", Count: 9},
			},
		}, nil
	case Taiwan:
		return &deployment{
			name:      Taiwan,
			zones:     []model.Zone{"hsinchu-a", "taipei-b", "taoyuan-c", "keelung-d"},
			zoneDelay: 1400 * time.Microsecond,
			keyed:     "holdings",
			servers: []fleet.PoolServers{
				{Pool: "holdings", Count: 15}, {Pool: "release", Count: 9},
				{Pool: "dossier", Count: 8}, {Pool: "climate-log", Count: 10},
			},
		}, nil
	default:
		return nil, errors.Errorf("no deployment %q, want %s or %s", name, Lagos, Taiwan)
	}
}

// keyedPool returns the settings of the keyed pool, with defaults filled in.
func (d *deployment) keyedPool() (*settings.Pool, error) {
	compiled, err := settings.Compile(d.tree, 1)
	if err != nil {
		return nil, err
	}
	return compiled.Pools[d.keyed], nil
}

func (d *deployment) placementWeights() (placement.Weights, error) {
	pool, err := d.keyedPool()
	if err != nil {
		return placement.Weights{}, err
	}
	if pool.Placement == nil {
		return placement.Weights{}, errors.Errorf("pool %s has no placement weights", d.keyed)
	}
	return placement.Weights(*pool.Placement), nil
}

// keyedTeam returns the settings of the team that owns the keyed pool, or nil.
func (d *deployment) keyedTeam() *settings.Team {
	for _, team := range d.tree.Teams {
		if _, ok := team.Pools[d.keyed]; ok {
			return team
		}
	}
	return nil
}

// addRoute adds a route to the keyed pool.
func (d *deployment) addRoute(route *settings.Route) {
	team := d.keyedTeam()
	route.Pool = d.keyed
	team.Routes = append(team.Routes, route)
}

// fleetOptions returns the options of a fleet with the deployment's servers and the given
// number of daemons.
func (d *deployment) fleetOptions(daemons int) (fleet.Options, error) {
	tree, err := json.Marshal(d.tree)
	return fleet.Options{
		Settings:  tree,
		Zones:     d.zones,
		Daemons:   daemons,
		Servers:   d.servers,
		ZoneDelay: d.zoneDelay,
	}, errors.Wrap(err, "encode settings")
}

// keepOnlyKeyedPool removes all other pools with their servers and routes, and sets the
// service time of the keyed pool's servers.
func (d *deployment) keepOnlyKeyedPool(serviceMS float64) {
	d.servers = d.servers[:1]
	d.servers[0].ServiceMS = serviceMS
	for _, team := range d.tree.Teams {
		d.removeOtherPools(team)
	}
}

func (d *deployment) removeOtherPools(team *settings.Team) {
	for name := range team.Pools {
		if name != d.keyed {
			delete(team.Pools, name)
		}
	}
	team.Routes = slices.DeleteFunc(team.Routes, func(r *settings.Route) bool { return r.Pool != d.keyed })
}
