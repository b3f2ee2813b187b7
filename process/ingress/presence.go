package ingress

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

// presence returns the state that the ingress reports to the control group.
func (i *Ingress) presence() feed.Presence {
	address := i.config.ListenAddress
	if i.reachability.isPartitioned() {
		address = ""
	}
	return feed.Presence{
		Proxy: i.config.Name, Address: address, Zone: i.config.Zone,
		Ready: i.Ready(), Stopping: i.stopping.Load(), WallClock: time.Now().UnixMilli(),
	}
}
