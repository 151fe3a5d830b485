package fake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattantray/rattantray/internal/command/exiter"
	"github.com/rattantray/rattantray/internal/command/maker"
	"github.com/rattantray/rattantray/internal/command/streamer"
	"github.com/rattantray/rattantray/internal/enginefaker"
)

const shutdownTimeout = 5 * time.Second

// NewCmdFake returns the command with a subcommand for each external system.
func NewCmdFake(f *maker.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "fake <command>",
		Short: "Run a small stand-in for an outside system, to try rattantray out",
		Long: `Run a small stand-in for an outside system, to try rattantray out.

Each keeps a ledger of what it ran at GET /ledger and takes faults at
POST /faults, both as JSON.`,
	}
	cmd.AddCommand(newCmdPlatform(f, nil), newCmdEngine(f, nil), newCmdService(f, nil))
	return cmd
}

// serve serves handler on address until ctx is done, then shuts down within shutdownTimeout.
func serve(ctx context.Context, s *streamer.IOStreams, label, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return exiter.Flagf("--listen %s: %s", address, err)
	}
	server := enginefaker.NewServer(handler)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	s.Printf("%s ready on %s\n", label, listener.Addr())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
