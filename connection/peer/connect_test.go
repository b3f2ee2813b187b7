package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The first packet to a machine without power is lost. A member must not wait long for
// an answer to it, since the machine may be back at once.
func TestEachTryToConnectIsShort(t *testing.T) {
	var config Config
	var left time.Duration
	config.setDefaults()
	config.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		deadline, bounded := ctx.Deadline()
		must.True(t, bounded)
		left = time.Until(deadline)
		return nil, net.ErrClosed
	}
	_, err := connect(context.Background(), config, "192.0.2.1:1")
	must.ErrorIs(t, err, net.ErrClosed)
	must.LessEq(t, DefaultConnectTimeout, left)
	must.LessEq(t, DefaultConnectTimeout, DefaultMaxBackoff, must.Sprint("nor between two tries"))
}
