package main

import (
	"context"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/landingtrail/landingtrail/cmd/internal/cli"
	"github.com/landingtrail/landingtrail/process/proxy"
	"github.com/landingtrail/landingtrail/process/settings"
	"github.com/landingtrail/landingtrail/version/subset"
)

func proxyCommand(to cli.Streams) *ffcli.Command {
	return daemonCommand(to, settings.SectionProxy, "Run the data path beside a caller", runProxy,
		"landingtrail proxy --settings deployments/radarvlak/proxy.yaml --name proxy-1 --zone hall-mechelen")
}

func runProxy(ctx context.Context, file settings.File, logger log.Logger) error {
	return proxy.Run(ctx, proxyConfig(file.Proxy), log.With(logger, "proxy", file.Proxy.Name))
}

// proxyConfig turns settings into what the daemon runs with.
func proxyConfig(given *settings.Proxy) proxy.Config {
	return proxy.Config{
		ID:            given.Name,
		Zone:          given.Zone,
		ListenAddress: given.Address,
		AdminAddress:  given.AdminAddress,
		FeedAddresses: given.Control,
		OnControlLoss: proxy.ControlLoss{
			Model:   proxy.LossPolicy(given.ModelOnControlLoss),
			Backend: proxy.LossPolicy(given.BackendOnControlLoss),
		},
		Timeouts: proxy.Timeouts{
			Dial:       given.DialTimeout,
			Head:       given.HeadTimeout,
			FirstToken: given.FirstTokenTimeout,
			Stall:      given.StallTimeout,
			Write:      given.WriteTimeout,
			ReadBody:   given.ReadBodyTimeout,
			Idle:       given.IdleTimeout,
			Claim:      given.ClaimTimeout,
			Deadline:   given.DefaultDeadline,
		},
		Limits: proxy.Limits{
			BodyBytes:    given.MaxBodyBytes,
			HeldBytes:    given.MaxHeldBytes,
			PollBytes:    float64(given.PollBytes),
			AnswerBytes:  given.MaxAnswerBytes,
			EventBytes:   given.MaxEventBytes,
			MaxInFlight:  given.MaxInFlight,
			QueueLimit:   given.QueueLimit,
			Attempts:     given.Attempts,
			Resumes:      given.Resumes,
			RetryShare:   given.RetryShare,
			RetryReserve: given.RetryReserve,
		},
		Intervals: proxy.Intervals{
			Load:   given.LoadInterval,
			Cache:  given.CacheInterval,
			Demand: given.DemandInterval,
			Beat:   given.BeatInterval,
		},
		Subset:      subset.Sizes{Local: given.FollowLocal, Remote: given.FollowRemote},
		DrainNotice: given.DrainNotice,
		DrainLimit:  given.DrainLimit,
	}
}
