package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/root"
	"github.com/rattantray/rattantray/internal/command/streamer"
)

// release is the version of the program. The linker sets it in a release build.
var release = "dev"

func main() {
	os.Exit(run())
}

func run() int {
	streams := streamer.System()
	cmd := root.NewCmdRoot(maker.New(streams, release))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	executed, err := cmd.ExecuteContextC(ctx)
	return exiter.Report(streams.Err, executed, err)
}
