package config

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Other daemons reach a daemon at its control address, unless its settings advertise another.
func TestAdvertisedControlAddress(t *testing.T) {
	const fenced = `{"name": "d1", "zone": "z1", "caller_address": "127.0.0.1:1", "control_address": "127.0.0.1:2",
		"platform_address": "127.0.0.1:3", "fenced": {"readiness_address": "127.0.0.1:4", "memory_mb": 100, "cores": 1`
	plain, err := Parse("d1.json", []byte(fenced+`}}`))
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:2", plain.AdvertisedControl())
	forwarded, err := Parse("d1.json", []byte(fenced+`, "advertised_control_address": "10.0.0.7:9100"}}`))
	must.NoError(t, err)
	must.Eq(t, "10.0.0.7:9100", forwarded.AdvertisedControl())
	_, err = Parse("d1.json", []byte(fenced+`, "advertised_control_address": "here"}}`))
	must.ErrorContains(t, err, "advertised_control_address")
}
