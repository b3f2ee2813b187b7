package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeromicro/go-zero/core/logx"
)

// Main carries out the process's command line by run and ends the process.
// SIGTERM and SIGINT end the context.
func Main(run func(ctx context.Context, args []string, to Streams) ExitCode) {
	// go-zero's logger would write lines of its own form beside ours.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(int(code))
}
