package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/control"
	"github.com/landingtrail/landingtrail/process/settings"
)

// TestDefaultsOfSettingsAreThoseOfTheDaemon keeps the defaults in the tags of
// settings equal to the daemon's own.
func TestDefaultsOfSettingsAreThoseOfTheDaemon(t *testing.T) {
	file, err := settings.Load("../../deployments/radarvlak/control.yaml", settings.SectionControl, nil)
	must.NoError(t, err)
	config := controlConfig(file.Control)
	defaults := control.Config{}.WithDefaults()
	must.Eq(t, defaults.Durations, config.Durations)
	must.Eq(t, defaults.Limits, config.Limits)
	must.Eq(t, defaults.Planner.Name, config.Planner.Name)
}

func TestControlConfigTakesAddressesFromTheMembers(t *testing.T) {
	given := &settings.Control{
		Name:               "b",
		FeedAddress:        "127.0.0.1:9",
		MaxAffectedEngines: 0,
		StopTimeout:        time.Second,
		Members: []settings.Member{
			{Name: "a", PeerAddress: "127.0.0.1:1", FeedAddress: "127.0.0.1:2", OperatorAddress: "127.0.0.1:3"},
			{Name: "b", PeerAddress: "127.0.0.1:4", FeedAddress: "127.0.0.1:5", OperatorAddress: "127.0.0.1:6"},
		},
	}
	config := controlConfig(given)
	must.Eq(t, "127.0.0.1:4", config.PeerAddress)
	must.Eq(t, "127.0.0.1:9", config.FeedAddress)
	must.Eq(t, "127.0.0.1:6", config.OperatorAddress)
	must.Eq(t, -1, config.Limits.MaxAffectedEngines)
	must.SliceLen(t, 2, config.Members)
}
