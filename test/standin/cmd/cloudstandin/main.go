// Command cloudstandin runs the stand-in of the cloud API and weight store.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"sigs.k8s.io/yaml"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/program"
)

type flags struct {
	Address              string        `default:"127.0.0.1:0" help:"Address of the HTTP port."`
	Offers               string        `help:"YAML file with the list of offers; without it every class can be started." type:"existingfile"`
	StartTime            time.Duration `default:"2s" help:"Time until a started instance runs."`
	ListLag              time.Duration `default:"1s" help:"Age of the instance list."`
	WeightBytes          int           `default:"1048576" help:"Size of a weight file."`
	WeightBytesPerSecond float64       `default:"0" help:"Bytes per second of all downloads; 0 means no limit."`
	WeightGetsPerSecond  float64       `default:"5" help:"Downloads started per second; 0 means no limit."`
	Seed                 uint64        `default:"1" help:"Seed of the random choices."`
}

func readOffers(path string) ([]cloud.Offer, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read offers")
	}
	var offers []cloud.Offer
	return offers, errors.Wrapf(yaml.UnmarshalStrict(text, &offers), "parse %s", path)
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Description("Stand-in of the cloud API and the weight store."))
	offers, err := readOffers(f.Offers)
	ctx.FatalIfErrorf(err)
	s := cloud.New(cloud.Options{
		Offers: offers, StartTime: f.StartTime, ListLag: f.ListLag, WeightBytes: f.WeightBytes,
		WeightBytesPerSecond: f.WeightBytesPerSecond, WeightGetsPerSecond: f.WeightGetsPerSecond, Seed: f.Seed,
	})
	ctx.FatalIfErrorf(program.Run(s, f.Address, nil))
}
