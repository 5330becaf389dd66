package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/internal/operatorapi"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

type moveCmd struct {
	Start  moveStartCmd  `cmd:"" help:"Start a move of a service from one version to another."`
	Status moveStatusCmd `cmd:"" help:"Show the progress of a move."`
	Cancel moveCancelCmd `cmd:"" help:"Cancel a move; all traffic returns to the old version."`
}

type moveStartCmd struct {
	Name     string        `arg:"" help:"Name of the move."`
	Service  string        `required:"" help:"Service to move."`
	From     string        `required:"" help:"Version that receives the traffic now."`
	To       string        `required:"" help:"Version that is to receive the traffic."`
	Deadline string        `help:"RFC 3339 time by which the move must be done." xor:"end"`
	Within   time.Duration `help:"Time from now by which the move must be done." xor:"end"`
	Route    string        `help:"Limit the move to the traffic of one route."`
	Accounts string        `help:"Limit the move to client accounts with these labels: key=value,..."`
	Step     []string      `help:"Step of the ramp, for example 5m=25 for 25 percent after 5 minutes; may be repeated."`
}

func (c *moveStartCmd) Run(ctx context.Context, g *Globals) error {
	spec, err := c.spec(time.Now())
	if err != nil {
		return err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "encode move")
	}
	return g.moveCall(ctx, "POST", c.Name+"/start", body)
}

// spec returns the move that the flags describe. It starts at now.
func (c *moveStartCmd) spec(now time.Time) (*object.Move, error) {
	spec := &object.Move{Service: c.Service, From: c.From, To: c.To, Start: now, Route: c.Route}
	switch {
	case c.Within > 0:
		spec.Deadline = now.Add(c.Within)
	case c.Deadline != "":
		deadline, err := time.Parse(time.RFC3339, c.Deadline)
		if err != nil {
			return nil, result.Wrap(err, result.BadRequest, result.NotRun, "--deadline")
		}
		spec.Deadline = deadline
	default:
		return nil, result.New(result.BadRequest, result.NotRun, "one of --deadline and --within is required")
	}
	labels, err := parseLabels(c.Accounts)
	if err != nil {
		return nil, err
	}
	spec.Accounts.MatchLabels = labels
	for _, s := range c.Step {
		step, err := parseStep(s)
		if err != nil {
			return nil, err
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec, nil
}

// parseStep parses a step of the form DURATION=PERCENT.
func parseStep(s string) (object.Step, error) {
	after, percent, ok := strings.Cut(s, "=")
	d, err := time.ParseDuration(after)
	var p float64
	if ok && err == nil {
		_, err = fmt.Sscanf(percent, "%g", &p)
	}
	if !ok || err != nil {
		return object.Step{}, result.New(result.BadRequest, result.NotRun, "--step: %q is not DURATION=PERCENT", s)
	}
	return object.Step{After: object.Duration(d), Percent: p}, nil
}

// parseLabels parses labels of the form key=value,key2=value2.
func parseLabels(s string) (map[string]string, error) {
	if s == "" {
		return nil, nil
	}
	labels := map[string]string{}
	for _, pair := range strings.Split(s, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok || key == "" {
			return nil, result.New(result.BadRequest, result.NotRun, "label %q is not key=value", pair)
		}
		labels[key] = value
	}
	return labels, nil
}

type moveStatusCmd struct {
	Name string `arg:"" help:"Name of the move."`
}

func (c *moveStatusCmd) Run(ctx context.Context, g *Globals) error {
	return g.moveCall(ctx, "GET", c.Name, nil)
}

type moveCancelCmd struct {
	Name string `arg:"" help:"Name of the move."`
}

func (c *moveCancelCmd) Run(ctx context.Context, g *Globals) error {
	return g.moveCall(ctx, "POST", c.Name+"/cancel", []byte("{}"))
}

// moveCall sends a request about a move and prints the status of the move. subpath
// is the path below operatorapi.PathMoves.
func (g *Globals) moveCall(ctx context.Context, method, subpath string, body []byte) error {
	var response operatorapi.MoveStatus
	if err := g.call(ctx, method, operatorapi.PathMoves+"/"+subpath, body, contentTypeJSON, &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "MOVE\tSERVICE\tFROM\tTO\tSTATE\tTARGET\tMEASURED\tCONDITION\tDEADLINE\tEVIDENCE")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%s\t%s\t%s\n", response.Name, response.Service,
			response.From, response.To, response.State, response.TargetPercent, response.MeasuredPercent, response.Condition,
			response.Deadline.Format(time.RFC3339), response.Evidence)
	})
}

type auditCmd struct {
	Limit  int    `help:"Number of records." default:"50"`
	Object string `help:"Only this object, as Kind/name."`
}

func (c *auditCmd) Run(ctx context.Context, g *Globals) error {
	query := url.Values{"limit": {fmt.Sprint(c.Limit)}, "object": {c.Object}}
	var response operatorapi.AuditResponse
	if err := g.call(ctx, "GET", operatorapi.PathAudit+"?"+query.Encode(), nil, "", &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "REVISION\tTIME\tACCOUNT\tFROM\tACTION\tOBJECT\tOLD\tRESULT\tEVIDENCE")
		for _, r := range response.Records {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", r.Revision, r.Time.Format(time.RFC3339),
				r.Account, r.From, r.Action, r.Object, r.OldRevision, r.Result, r.Evidence)
		}
	})
}

type statusCmd struct{}

func (c *statusCmd) Run(ctx context.Context, g *Globals) error {
	var response operatorapi.Status
	if err := g.call(ctx, "GET", operatorapi.PathStatus, nil, "", &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) { printStatus(w, response) })
}

func printStatus(w io.Writer, s operatorapi.Status) {
	_, _ = fmt.Fprintf(w, "daemon %s (%s) in %s: %s, revision %d, %d in flight, store contact %.1f s ago\n",
		s.Name, s.DaemonID, s.DataCentre, s.State, s.Revision, s.InFlight, s.StoreContactAgeSeconds)
	if s.StoreFault != "" {
		_, _ = fmt.Fprintf(w, "store fault: %s\n", s.StoreFault)
	}
	_, _ = fmt.Fprintln(w, "\nDAEMON\tDATA CENTRE\tSTATE\tREVISION\tADDRESS")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.DataCentre, m.State, m.Revision, m.HTTP)
	}
	_, _ = fmt.Fprintln(w, "\nUPSTREAM\tDATA CENTRE\tSTATE\tIN FLIGHT\tLIMIT\tHEALTH\tADDRESS")
	for _, u := range s.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%s\n", u.Name, u.DataCentre, u.State, u.InFlight, u.Limit, u.Health, u.Address)
	}
}

type drainCmd struct {
	Upstream string        `help:"Drain this upstream instead of the daemon."`
	Notice   time.Duration `help:"Time until the instance goes away." default:"30s"`
}

func (c *drainCmd) Run(ctx context.Context, g *Globals) error {
	path := operatorapi.PathDrain
	if c.Upstream != "" {
		path = operatorapi.PathUpstream + "/" + url.PathEscape(c.Upstream) + "/drain"
	}
	var response map[string]string
	if err := g.call(ctx, "POST", path+"?notice="+c.Notice.String(), []byte("{}"), contentTypeJSON, &response); err != nil {
		return err
	}
	return g.print(response, func(w io.Writer) { _, _ = fmt.Fprintln(w, response["state"]) })
}
