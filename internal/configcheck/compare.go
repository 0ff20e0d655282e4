package configcheck

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Difference is one thing that a configuration changes.
type Difference struct {
	Subject string `json:"subject"`
	Change  string `json:"change"`
}

// String returns the difference as one line.
func (d Difference) String() string { return d.Subject + ": " + d.Change }

// CheckVersion returns a finding if a configuration can't follow the one in force, since its
// version is not higher.
func CheckVersion(inForce, next uint64) []Finding {
	if next > inForce {
		return nil
	}
	return []Finding{{Kind: Invalid, Field: FieldVersion, Message: fmt.Sprintf("found %d, want more than %d, the version in force", next, inForce)}}
}

// Compare returns what differs in effect between two configurations, sorted by subject. Order
// and names of routes, and entries without effect, are no difference.
func Compare(inForce, next *catalog.Configuration) []Difference {
	differences := compareMaps(routesOf(inForce), routesOf(next), "route", describeRoute)
	differences = append(differences, compareMaps(servicesOf(inForce), servicesOf(next), "service", describeService)...)
	return append(differences, changes("limits", describeLimits(&inForce.Limits), describeLimits(&next.Limits))...)
}

// property is one property of an entry, as text.
type property struct{ name, value string }

// compareMaps compares entries that have the same key.
func compareMaps[E any](before, after map[string]E, subject string, describe func(E) []property) []Difference {
	var differences []Difference
	for _, key := range sortedKeys(before, after) {
		old, existed := before[key]
		current, exists := after[key]
		name := subject + " " + key
		switch {
		case !existed:
			differences = append(differences, Difference{Subject: name, Change: "added, " + joined(describe(current))})
		case !exists:
			differences = append(differences, Difference{Subject: name, Change: "removed"})
		default:
			differences = append(differences, changes(name, describe(old), describe(current))...)
		}
	}
	return differences
}

func sortedKeys[E any](maps ...map[string]E) []string {
	var keys []string
	for _, m := range maps {
		for key := range m {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return slices.Compact(keys)
}

// changes returns the properties whose values differ. Both lists have the same names.
func changes(subject string, before, after []property) []Difference {
	var differences []Difference
	for i, p := range after {
		if before[i].value != p.value {
			change := fmt.Sprintf("%s %s, was %s", p.name, p.value, before[i].value)
			differences = append(differences, Difference{Subject: subject, Change: change})
		}
	}
	return differences
}

func joined(properties []property) string {
	texts := make([]string, 0, len(properties))
	for _, p := range properties {
		texts = append(texts, p.name+" "+p.value)
	}
	return strings.Join(texts, ", ")
}

// routesOf returns the routes that requests can match, by host and prefix.
func routesOf(c *catalog.Configuration) map[string]*catalog.Route {
	routes := map[string]*catalog.Route{}
	for host, list := range c.Hosts {
		for _, r := range list {
			key := host + " " + r.Prefix
			if routes[key] == nil {
				routes[key] = r // the first one matches
			}
		}
	}
	return routes
}

func servicesOf(c *catalog.Configuration) map[string]*catalog.Service {
	services := map[string]*catalog.Service{}
	for name, s := range c.Services {
		services[string(name)] = s
	}
	return services
}

func describeRoute(r *catalog.Route) []property {
	repeat := "any number"
	if r.Repeat == catalog.AtMostOnce {
		repeat = "1 at most"
	}
	return []property{
		{"services", describeParts(r.Backends)},
		{"runs", repeat},
		{"timeout", r.Timeout.String()},
		{"latency objective", r.LatencyObjective.String()},
		{"servers for one request", fmt.Sprint(r.MaxServers)},
		{"rank", fmt.Sprint(r.Rank)},
		{"large responses", fmt.Sprint(r.LargeResponses)},
		{"regions", describeRegions(r.AllowedRegions)},
	}
}

// describeParts returns the services with their shares of the requests.
func describeParts(parts []catalog.WeightedService) string {
	weights, total := map[model.PoolName]int{}, 0
	for _, p := range parts {
		weights[p.Service] += max(p.Weight, 0)
		total += max(p.Weight, 0)
	}
	if total == 0 {
		return string(parts[0].Service)
	}
	var texts []string
	for service, weight := range weights {
		switch {
		case weight == total:
			return string(service)
		case weight > 0:
			texts = append(texts, fmt.Sprintf("%s %.4g%%", service, 100*float64(weight)/float64(total)))
		}
	}
	sort.Strings(texts)
	return strings.Join(texts, " + ")
}

func describeRegions(regions []model.Region) string {
	if len(regions) == 0 {
		return "all"
	}
	return fmt.Sprint(slices.Sorted(slices.Values(regions)))
}

func describeService(s *catalog.Service) []property {
	return []property{
		{"health path", s.HealthPath},
		{"connections to a server", fmt.Sprint(s.MaxConnections)},
		{"keyed", fmt.Sprint(s.Keyed)},
		{"warm-up of keys", s.KeyWarmUp.String()},
		{"warm-up", s.WarmUp.String()},
		{"requests/s to a cold server", fmt.Sprint(s.ColdRate)},
	}
}

func describeLimits(l *catalog.Limits) []property {
	return []property{
		{"header bytes", fmt.Sprint(l.HeaderBytes)},
		{"body bytes", fmt.Sprint(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}
