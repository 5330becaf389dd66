// Package program runs a stand-in as a process until SIGTERM or SIGINT.
package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Server is a stand-in.
type Server interface {
	Start(address string) error
	Address() string
	Close()
}

// Run starts server at address, logs the address in use together with attrs,
// and closes the server on SIGTERM or SIGINT.
func Run(server Server, address string, attrs func() []any) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := server.Start(address); err != nil {
		return err
	}
	fields := []any{"address", server.Address()}
	if attrs != nil {
		fields = append(fields, attrs()...)
	}
	slog.Info("listening", fields...)
	<-ctx.Done()
	server.Close()
	return nil
}
