// Command appstandin runs the stand-in of an application service.
package main

import (
	"time"

	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/program"
)

type flags struct {
	Address     string        `default:"127.0.0.1:0" help:"Address of the HTTP port."`
	ServiceTime time.Duration `default:"5ms" help:"Time of one execution."`
	MaxInFlight int           `default:"0" help:"Requests in flight above which new ones are refused; 0 means no limit."`
	Version     string        `default:"v1" help:"Version reported in replies."`
	Seed        uint64        `default:"1" help:"Seed of the random choices of faults."`
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Description("Stand-in of an application service."))
	s := app.New(app.Options{
		ServiceTime: f.ServiceTime, MaxInFlight: f.MaxInFlight, Version: f.Version, Seed: f.Seed,
	})
	ctx.FatalIfErrorf(program.Run(s, f.Address, nil))
}
