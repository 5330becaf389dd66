// Command storestandin runs the stand-in of the key-value store.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/program"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/store"
)

type flags struct {
	Address         string  `default:"127.0.0.1:0" help:"Address of the gRPC port."`
	ControlAddress  string  `default:"127.0.0.1:0" help:"Address of the HTTP control port."`
	WritesPerSecond float64 `default:"300" help:"Limit of writes per second; 0 means none."`
	ReadsPerSecond  float64 `default:"2000" help:"Limit of reads per second; 0 means none."`
	History         int     `default:"100000" help:"Changes kept for watches and rollback."`
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Description("Stand-in of the key-value store (etcd v3 API)."))
	s := store.New(store.Options{
		WritesPerSecond: f.WritesPerSecond, ReadsPerSecond: f.ReadsPerSecond,
		ControlAddress: f.ControlAddress, History: f.History,
	})
	ctx.FatalIfErrorf(program.Run(s, f.Address, func() []any {
		return []any{"control", s.ControlAddress()}
	}))
}
