package main

import (
	"context"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/relay"
	"github.com/landingtrail/landingtrail/process/settings"
)

func relayCommand(to cli.Streams) *ffcli.Command {
	return daemonCommand(to, settings.SectionRelay, "Pass the control group's feed on to many daemons", runRelay,
		"landingtrail relay --settings deployments/radarvlak/relay.yaml --name relay-1 --zone hall-mechelen")
}

func runRelay(ctx context.Context, file settings.File, logger log.Logger) error {
	return relay.Run(ctx, relayConfig(file.Relay), log.With(logger, "relay", file.Relay.Name))
}

// relayConfig turns settings into what the daemon runs with.
func relayConfig(given *settings.Relay) relay.Config {
	return relay.Config{
		Name:           given.Name,
		Zone:           given.Zone,
		FeedAddress:    given.FeedAddress,
		AdminAddress:   given.AdminAddress,
		Control:        given.Control,
		MaxLease:       given.Lease,
		BeatInterval:   given.BeatInterval,
		DemandInterval: given.DemandInterval,
		ClaimTimeout:   given.ClaimTimeout,
		StopTimeout:    given.StopTimeout,
		MaxDaemons:     given.MaxDaemons,
	}
}
