// Command enginestandin runs the stand-in of a model engine.
package main

import (
	"time"

	"github.com/alecthomas/kong"

	"github.com/dogwoodrudder/dogwoodrudder/test/standin/engine"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/internal/program"
)

type flags struct {
	Address           string        `default:"127.0.0.1:0" help:"Address of the HTTP port."`
	Model             string        `default:"stand-in" help:"Model name."`
	Adapters          []string      `help:"Further accepted model names."`
	Version           string        `default:"v1" help:"Version of the model."`
	Role              string        `default:"both" help:"Role reported to the control API."`
	PrefillPerToken   time.Duration `default:"20us" help:"Time for an uncached prompt token."`
	DecodeBase        time.Duration `default:"4ms" help:"Time of a decode step."`
	DecodePerSequence time.Duration `default:"100us" help:"Time of a decode step for each sequence."`
	MaxBatch          int           `default:"32" help:"Maximum number of running sequences."`
	MaxRunningTokens  int           `default:"400000" help:"Maximum number of tokens of all running sequences."`
	MaxWaiting        int           `default:"256" help:"Waiting requests above which new ones are refused."`
	CacheTokens       int           `default:"200000" help:"Capacity of the prefix cache in tokens."`
	CacheEventDelay   time.Duration `default:"200ms" help:"Delay of cache events."`
	CacheEventLoss    float64       `default:"0" help:"Share of cache events that are lost, 0 to 1."`
	LoadLag           time.Duration `default:"500ms" help:"Time between two load samples."`
	LoadTime          time.Duration `default:"0s" help:"Time to load a model, adapter or version."`
	IgnoreFencing     bool          `help:"Accept control orders with an outdated fencing token."`
	KVPerToken        time.Duration `name:"kv-per-token" default:"0s" help:"Transfer time of KV cache for each token."`
	KVBytesPerToken   int           `name:"kv-bytes-per-token" default:"0" help:"Bytes of exported KV cache for each token."`
	Seed              uint64        `default:"1" help:"Seed of the random choices."`
}

func (f flags) options() engine.Options {
	return engine.Options{
		Model: f.Model, Adapters: f.Adapters, Version: f.Version, Role: f.Role,
		PrefillPerToken: f.PrefillPerToken, DecodeBase: f.DecodeBase,
		DecodePerSequence: f.DecodePerSequence, MaxBatch: f.MaxBatch,
		MaxRunningTokens: f.MaxRunningTokens, MaxWaiting: f.MaxWaiting,
		CacheTokens: f.CacheTokens, CacheEventDelay: f.CacheEventDelay,
		CacheEventLoss: f.CacheEventLoss, LoadLag: f.LoadLag, LoadTime: f.LoadTime,
		IgnoreFencing: f.IgnoreFencing, KVPerToken: f.KVPerToken,
		KVBytesPerToken: f.KVBytesPerToken, Seed: f.Seed,
	}
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Description("Stand-in of a model engine (OpenAI-compatible API)."))
	ctx.FatalIfErrorf(program.Run(engine.New(f.options()), f.Address, nil))
}
