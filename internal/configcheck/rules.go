package configcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// checker collects findings.
type checker struct {
	outline  *Outline
	findings []Finding
}

func (c *checker) report(kind Kind, place Place, field Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Place: place, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkServices() {
	used := c.usedServices()
	seen := map[model.PoolName]bool{}
	for i := range c.outline.Services {
		s := &c.outline.Services[i]
		switch {
		case s.Name == "":
			c.report(Contradiction, s.Place, FieldName, "a service needs a name")
		case seen[s.Name]:
			c.report(Contradiction, s.Place, FieldName, "service %q is listed twice, only the last entry counts", s.Name)
		case !used[s.Name]:
			c.report(NeverUsed, s.Place, FieldName, "no route leads to service %q", s.Name)
		}
		seen[s.Name] = true
		c.checkService(s)
	}
}

func (c *checker) checkService(s *Service) {
	if s.WarmUp > 0 && s.ColdRate == 0 {
		c.report(Contradiction, s.Place, FieldColdRate, "a warm-up of %v without a rate for cold servers bounds nothing", s.WarmUp)
	}
	if s.WarmUp == 0 && s.ColdRate > 0 {
		c.report(NeverUsed, s.Place, FieldColdRate, "a rate for cold servers without a warm-up has no effect")
	}
	if s.MaxConnections < 0 {
		c.report(Contradiction, s.Place, FieldMaxConnections, "found %d, want 0 for no limit, or more", s.MaxConnections)
	}
}

// usedServices returns the services that some route with a weight leads to.
func (c *checker) usedServices() map[model.PoolName]bool {
	used := map[model.PoolName]bool{}
	for i := range c.outline.Routes {
		for _, p := range c.outline.Routes[i].Parts {
			if p.Weight > 0 {
				used[p.Service] = true
			}
		}
	}
	return used
}

func (c *checker) checkRoutes() {
	listed := map[model.PoolName]bool{}
	for i := range c.outline.Services {
		listed[c.outline.Services[i].Name] = true
	}
	names := map[string]bool{}
	prefixes := map[[2]string]string{} // names of routes by host and prefix
	for i := range c.outline.Routes {
		r := &c.outline.Routes[i]
		key := [2]string{r.Host, r.Prefix}
		if first, taken := prefixes[key]; taken {
			c.report(NeverUsed, r.Place, FieldPrefix, "route %q of host %s has this prefix already", first, r.Host)
		} else {
			prefixes[key] = r.Name
		}
		if r.Name != "" && names[r.Name] {
			c.report(Contradiction, r.Place, FieldName, "another route is named %q", r.Name)
		}
		names[r.Name] = true
		c.checkPrefix(r)
		c.checkTimes(r)
		c.checkParts(r, listed)
	}
}

func (c *checker) checkPrefix(r *Route) {
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.report(NeverUsed, r.Place, FieldPrefix, "no path begins with %q, want a slash first", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.report(Contradiction, r.Place, FieldPrefix, "%q also matches longer names, want a slash last", r.Prefix)
	}
	if r.Host == "" {
		c.report(NeverUsed, r.Place, FieldNone, "no request is for a host without a name")
	}
	if !r.KnownType {
		c.report(Contradiction, r.Place, FieldType, "%q is no type, requests would run at most once", r.Type)
	}
}

// checkTimes checks that what the route allows fits the time that it gives.
func (c *checker) checkTimes(r *Route) {
	if r.Timeout <= 0 {
		c.report(Contradiction, r.Place, FieldTimeout, "found %v, no request can be answered in time", r.Timeout)
		return
	}
	if r.Objective > r.Timeout {
		c.report(Contradiction, r.Place, FieldObjective, "%v is longer than the timeout of %v", r.Objective, r.Timeout)
	}
	switch {
	case r.Attempts < 1:
		c.report(Contradiction, r.Place, FieldAttempts, "found %d, a request is sent to 1 server or more", r.Attempts)
	case time.Duration(r.Attempts-1)*r.Objective >= r.Timeout:
		c.report(Contradiction, r.Place, FieldAttempts, "after %v at each server before, the last of %d is asked when the timeout of %v is over", r.Objective, r.Attempts, r.Timeout)
	}
}

func (c *checker) checkParts(r *Route, listed map[model.PoolName]bool) {
	total := 0
	seen := map[model.PoolName]bool{}
	for _, p := range r.Parts {
		switch {
		case !listed[p.Service]:
			c.report(Invalid, p.Place, FieldService, "unknown service %q", p.Service)
		case p.Weight <= 0:
			c.report(NeverUsed, p.Place, FieldWeight, "service %q gets no requests with weight %d", p.Service, p.Weight)
		case seen[p.Service]:
			c.report(Contradiction, p.Place, FieldService, "service %q is a part of this route already", p.Service)
		}
		seen[p.Service] = true
		total += max(p.Weight, 0)
	}
	if total == 0 && len(r.Parts) > 1 {
		c.report(Contradiction, r.Place, FieldNone, "no part of route %q has a weight, all requests would go to the first", r.Name)
	}
}

func (c *checker) checkLimits(options Options) {
	l := &c.outline.Limits
	if options.LargestBody > 0 && l.BodyBytes > options.LargestBody {
		c.report(Contradiction, l.Place, FieldBodyBytes, "found %d, a daemon with this memory holds %d at most", l.BodyBytes, options.LargestBody)
	}
}
