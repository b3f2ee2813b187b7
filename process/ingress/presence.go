package ingress

import (
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

// presence is what the ingress says of itself to the control group.
func (i *Ingress) presence() feed.Presence {
	return feed.Presence{
		Proxy: i.config.Name, Address: i.config.ListenAddress, Zone: i.config.Zone,
		Ready: i.Ready(), Stopping: i.stopping.Load(), Day: time.Now().UnixMilli(),
	}
}
