package daemon

import (
	"context"

	"github.com/pkg/errors"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/moves"
	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// movesActor is the account name in the audit records of the outcomes of moves.
const movesActor = "moves"

// buildMoves creates the manager of moves. It must be called after buildPeers,
// because it uses the configuration manager and gossip.
func (d *Daemon) buildMoves() error {
	chart, err := statechart.Load(charts.Files, "move")
	if err != nil {
		return errors.Wrap(err, "load chart")
	}
	d.moves = moves.New(moves.Options{
		Clock: d.clock, Log: d.log, Self: d.id, Config: d.config.Current, Chart: chart,
		Ranked:    func(key string, n int) []membership.Member { return d.gossip.Overlay().Evaluators(key, n) },
		Daemons:   func() int { return countLive(d.gossip.Members()) },
		Client:    d.pool.Client,
		Broadcast: broadcaster{d.gossip, d.log}.Broadcast,
		Record: func(ctx context.Context, name string, generation int64, state object.MoveState, evidence string) error {
			_, err := d.operator.RecordOutcome(ctx, config.Actor{Account: movesActor}, name, generation, state, evidence)
			return err
		},
	})
	return nil
}

// verdicts and onVerdicts are options of the configuration manager, which is
// created before the manager of moves. They are called only after buildMoves.
func (d *Daemon) verdicts() []*peerv1.Verdict { return d.moves.Verdicts() }

func (d *Daemon) onVerdicts(verdicts []*peerv1.Verdict) { d.moves.OnVerdicts(verdicts) }

// MoveProgress implements server.Daemon.
func (d *Daemon) MoveProgress(s config.MoveStatus) operatorapi.MoveStatus { return d.moves.Progress(s) }
