package config

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Fenced holds the configuration of a daemon of a fenced fleet.
type Fenced struct {
	// ReadinessAddress serves the readiness checks of the load balancer in front of
	// the daemon; MetricsAddress serves counters and histograms. Each is ip:port;
	// MetricsAddress may be empty.
	ReadinessAddress string `json:"readiness_address"`
	MetricsAddress   string `json:"metrics_address,omitempty"`
	// AdvertisedControlAddress is the ip:port at which other daemons reach the control
	// address, if its connections are forwarded from another address. It may be empty.
	AdvertisedControlAddress string `json:"advertised_control_address,omitempty"`
	// MemoryMB is the memory limit of the process, in mebibytes.
	MemoryMB float64 `json:"memory_mb"`
	// Cores is the number of processor cores that the process may use, which may be
	// a fraction. Daemons with more cores take on more of the fleet's work.
	Cores float64 `json:"cores"`
	// GraceSeconds is the time from SIGTERM until the process is killed.
	GraceSeconds float64 `json:"grace_seconds"`
	// RepeatShare bounds the retries to a service as a fraction of the first
	// attempts, over the whole fleet. RepeatExtra is the number of retries by which
	// a burst may exceed that share, perhaps a fraction.
	// They default to DefaultRepeatShare and DefaultRepeatExtra.
	RepeatShare float64 `json:"repeat_share"`
	RepeatExtra float64 `json:"repeat_extra"`
	// MaxHoldSeconds bounds the time for which a server may own keys without
	// renewal of its grant. It defaults to DefaultMaxHoldSeconds.
	MaxHoldSeconds float64 `json:"max_hold_seconds"`
	// DrainSeconds is the time after which a server that is known to be leaving must get
	// no more requests. It defaults to DefaultDrainSeconds.
	DrainSeconds float64 `json:"drain_seconds"`
	// ReportSeconds is the time between two reports of a server to the store. It defaults
	// to DefaultReportSeconds.
	ReportSeconds float64 `json:"report_seconds"`
	// WarmUpOverage and WarmUpSlack bound the requests that a cold server gets within any
	// second from the whole fleet: WarmUpOverage times the rate that its service states,
	// plus WarmUpSlack. They default to DefaultWarmUpOverage and DefaultWarmUpSlack.
	WarmUpOverage float64 `json:"warm_up_overage"`
	WarmUpSlack   float64 `json:"warm_up_slack"`
	// EvacuationSeconds is the time after which the servers of an availability zone that
	// operators have evacuated must get no more requests. It defaults to
	// DefaultEvacuationSeconds.
	EvacuationSeconds float64 `json:"evacuation_seconds"`
	// LinkMbps is the bandwidth of the instance's network link in each direction, in
	// megabits per second; zero if it is not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may open; zero if
	// it is not known.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
	// ZoneRegions names the region of each availability zone of the installation. Zones
	// that it leaves out belong to no known region.
	ZoneRegions map[model.Zone]model.Region `json:"zone_regions,omitempty"`
}

// AdvertisedControl returns the ip:port at which other daemons reach the control address.
func (c *Config) AdvertisedControl() string {
	if c.Fenced != nil && c.Fenced.AdvertisedControlAddress != "" {
		return c.Fenced.AdvertisedControlAddress
	}
	return c.ControlAddress
}

// ReportPeriod returns ReportSeconds as a duration.
func (f *Fenced) ReportPeriod() time.Duration {
	return time.Duration(f.ReportSeconds * float64(time.Second))
}

// DrainPeriod returns DrainSeconds as a duration.
func (f *Fenced) DrainPeriod() time.Duration {
	return time.Duration(f.DrainSeconds * float64(time.Second))
}

// EvacuationPeriod returns EvacuationSeconds as a duration.
func (f *Fenced) EvacuationPeriod() time.Duration {
	return time.Duration(f.EvacuationSeconds * float64(time.Second))
}

// LinkBytesPerSecond returns the bandwidth of the link in bytes per second, or zero if it
// is not known.
func (f *Fenced) LinkBytesPerSecond() float64 { return f.LinkMbps * bytesPerMegabit }

// bytesPerMegabit converts LinkMbps.
const bytesPerMegabit = 1_000_000 / 8

// MemoryBytes returns MemoryMB in bytes.
func (f *Fenced) MemoryBytes() int64 { return int64(f.MemoryMB * (1 << 20)) }

func (c *Config) checkFenced(report func(path, format string, args ...any)) {
	f := c.Fenced
	if f == nil {
		return
	}
	for _, optional := range []namedAddress{
		{"fenced.metrics_address", f.MetricsAddress},
		{"fenced.advertised_control_address", f.AdvertisedControlAddress},
	} {
		if problem := addressProblem(optional.address); optional.address != "" && problem != "" {
			report(optional.name, "%s", problem)
		}
	}
	if f.MemoryMB < 1 {
		report("fenced.memory_mb", "found %v, want 1 or more", f.MemoryMB)
	}
	if f.Cores <= 0 {
		report("fenced.cores", "found %v, want more than 0", f.Cores)
	}
	if f.GraceSeconds < minGraceSeconds {
		report("fenced.grace_seconds", "found %v, want %d or more", f.GraceSeconds, minGraceSeconds)
	}
	if f.RepeatShare < 0 {
		report("fenced.repeat_share", "found %v, want 0 or more", f.RepeatShare)
	}
	if f.RepeatExtra < 0 {
		report("fenced.repeat_extra", "found %v, want 0 or more", f.RepeatExtra)
	}
	if f.MaxHoldSeconds <= 0 {
		report("fenced.max_hold_seconds", "found %v, want more than 0", f.MaxHoldSeconds)
	}
	if f.DrainSeconds < 0 {
		report("fenced.drain_seconds", "found %v, want 0 or more", f.DrainSeconds)
	}
	if f.ReportSeconds < 0 {
		report("fenced.report_seconds", "found %v, want 0 or more", f.ReportSeconds)
	}
	if f.WarmUpOverage < 0 {
		report("fenced.warm_up_overage", "found %v, want 0 or more", f.WarmUpOverage)
	}
	if f.WarmUpSlack < 0 {
		report("fenced.warm_up_slack", "found %v, want 0 or more", f.WarmUpSlack)
	}
	if f.EvacuationSeconds < 0 {
		report("fenced.evacuation_seconds", "found %v, want 0 or more", f.EvacuationSeconds)
	}
	if f.LinkMbps < 0 {
		report("fenced.link_mbps", "found %v, want 0 or more", f.LinkMbps)
	}
	if f.MaxDescriptors < 0 {
		report("fenced.max_descriptors", "found %v, want 0 or more", f.MaxDescriptors)
	}
}
