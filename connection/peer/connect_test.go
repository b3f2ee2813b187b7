package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An attempt to connect must time out soon: the SYN to a machine without power is lost, and
// the machine may be back shortly after.
func TestConnectTimeoutIsShort(t *testing.T) {
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
	must.LessEq(t, DefaultConnectTimeout, DefaultMaxBackoff, must.Sprint("the delay between two attempts is too long"))
}
