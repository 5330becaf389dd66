// Package daemon builds a daemon from its settings, connects its components, and
// runs it until it is drained.
package daemon

import (
	"context"
	"encoding/hex"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/dogwoodrudder/dogwoodrudder/api/peer/v1"
	"github.com/dogwoodrudder/dogwoodrudder/charts"
	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/internal/audit"
	"github.com/dogwoodrudder/dogwoodrudder/internal/cloud"
	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/internal/duty"
	"github.com/dogwoodrudder/dogwoodrudder/internal/engine"
	"github.com/dogwoodrudder/dogwoodrudder/internal/gossip"
	"github.com/dogwoodrudder/dogwoodrudder/internal/handover"
	"github.com/dogwoodrudder/dogwoodrudder/internal/moves"
	"github.com/dogwoodrudder/dogwoodrudder/internal/orders"
	"github.com/dogwoodrudder/dogwoodrudder/internal/peer"
	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/internal/server"
	"github.com/dogwoodrudder/dogwoodrudder/internal/settings"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store"
	"github.com/dogwoodrudder/dogwoodrudder/internal/store/etcdv3"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreamhttp"
	"github.com/dogwoodrudder/dogwoodrudder/internal/upstreams"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/admission"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/lease"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/membership"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/order"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/statechart"
)

// peerIdleTimeout is the time without use after which the connection to another
// daemon is closed, because that daemon is no longer a neighbour in gossip.
const peerIdleTimeout = time.Minute

// Daemon is one daemon process.
type Daemon struct {
	settings *settings.Settings
	clock    clockwork.Clock
	log      *slog.Logger
	id       string // unique for each start of the process

	store     store.Store // the same as budget
	budget    *store.Budget
	config    *config.Manager
	operator  *config.OperatorService
	trail     *audit.Trail
	pool      *peer.Pool
	gossip    *gossip.Gossip
	directory *upstreams.Directory
	admission *admission.Controller
	engine    engine.Engine
	app       app.Client
	checker   upstreams.Checker
	signer    *order.Signer
	ledger    *order.Ledger
	executor  *orders.Executor
	cloud     cloud.Provider // nil without a cloud API
	receiver  *handover.Receiver
	rings     rings
	proxy     *proxy.Proxy
	moves     *moves.Manager
	server    *server.Server
	calls     *ants.Pool
	runner    *duty.Runner
	grpc      *grpc.Server
	// placementLease is nil if placement is off.
	placementLease *lease.Holder

	mu        sync.Mutex
	chart     *statechart.Machine // guarded by mu
	drainOnce sync.Once
	drained   chan struct{} // closed when the drain has ended
	deadline  time.Time     // end of the drain, set before the drain starts
}

// New builds a daemon. It starts no duty and listens on no address before Run.
func New(s *settings.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s, clock: clockwork.NewRealClock(), log: log.With("daemon", s.Daemon.Name),
		id: s.Daemon.Name + "-" + uuid.NewString()[:8], drained: make(chan struct{}), rings: newRings(),
	}
	steps := []func() error{d.buildStore, d.buildPeers, d.buildMoves, d.buildUpstreams, d.buildOrders, d.buildProxy, d.buildServer}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	d.registerCallbacks()
	return d, nil
}

// buildStore loads the daemon's statechart and creates the store client.
func (d *Daemon) buildStore() error {
	chart, err := statechart.Load(charts.Files, "daemon")
	if err != nil {
		return errors.Wrap(err, "load chart")
	}
	d.chart = chart.Machine()
	client, err := etcdv3.New(etcdv3.Options{Addresses: d.settings.Store.Endpoints, Timeout: d.settings.Store.CallTimeout})
	if err != nil {
		return err
	}
	d.budget = store.NewBudget(client, store.BudgetOptions{
		WritesPerSecond: d.settings.Store.WritesPerSecond, ReadsPerSecond: d.settings.Store.ReadsPerSecond, Daemons: 1,
	})
	d.store = d.budget
	d.trail = audit.NewTrail(d.store)
	return nil
}

// buildPeers creates gossip and the configuration manager.
func (d *Daemon) buildPeers() error {
	d.pool = peer.NewPool(peerIdleTimeout, d.clock.Now)
	d.gossip = gossip.New(gossip.Config{
		Self: membership.Member{
			DaemonID: d.id, Name: d.settings.Daemon.Name, PeerAddress: d.settings.Daemon.PeerAddress,
			HTTPAddress: d.settings.Daemon.HTTPAddress, DataCentre: d.settings.Daemon.DataCentre,
			Region: d.settings.Daemon.Region,
		},
		Membership: membership.Config{
			ProbeInterval: d.settings.Peers.ProbeInterval, SuspicionTimeout: d.settings.Peers.SuspectAfter,
		},
		Seeds: d.settings.Peers.Seeds, Pool: d.pool, Clock: d.clock, Logger: d.log,
		ProbeTimeout: d.settings.Peers.ProbeTimeout,
	})
	d.config = config.NewManager(config.Options{
		Store: d.store, Clock: d.clock, Logger: d.log, Daemon: d.settings.Daemon.Name,
		Broadcaster: broadcaster{d.gossip, d.log},
		ShouldWatch: func() bool { return d.gossip.Overlay().WatchesStore(d.id) },
		FetchPeer:   d.newestConfigPeer,
		Verdicts:    d.verdicts, OnVerdicts: d.onVerdicts,
	})
	d.operator = config.NewOperatorService(d.config)
	return nil
}

// broadcaster broadcasts items through gossip and logs errors instead of returning
// them.
type broadcaster struct {
	gossip *gossip.Gossip
	log    *slog.Logger
}

func (b broadcaster) Broadcast(ctx context.Context, item *peerv1.Item) {
	if err := b.gossip.Broadcast(ctx, item); err != nil {
		b.log.Warn("item not pushed to all relays", "error", err.Error())
	}
}

// newestConfigPeer returns a client for the live daemon, other than this one,
// with the highest configuration revision.
func (d *Daemon) newestConfigPeer(context.Context) (peerv1.PeerClient, error) {
	var best membership.Member
	for _, m := range d.gossip.Members() {
		if m.DaemonID != d.id && !m.State.Gone() && m.ConfigRevision >= best.ConfigRevision {
			best = m
		}
	}
	if best.DaemonID == "" {
		return nil, errors.New("no other daemon is known")
	}
	return d.pool.Client(best.PeerAddress)
}

// buildUpstreams creates the clients of the upstreams and of the cloud, the
// upstream directory and admission.
func (d *Daemon) buildUpstreams() error {
	client, err := upstreamhttp.New(d.settings.Upstreams.DialTimeout)
	if err != nil {
		return err
	}
	d.engine = engine.NewOpenAI(client)
	if d.settings.Platform.CloudAddress != "" {
		d.cloud = cloud.NewHTTP(client, d.settings.Platform.CloudAddress, cloudTimeout)
	}
	d.app = app.NewHTTP(client, int64(d.settings.Limits.MaxStreamBytes))
	d.checker = upstreamhttp.Checker{Client: client, Path: "/health"}
	d.directory = upstreams.New(upstreams.Options{
		Clock: d.clock, Self: d.id, DataCentre: d.settings.Daemon.DataCentre,
		SubsetSize: d.settings.Upstreams.SubsetSize, Log: d.log,
	})
	d.admission = admission.New(admission.Config{Clock: d.clock, QueueLimit: d.settings.Limits.QueueLength})
	return nil
}

// buildOrders creates the order executor. The previous secret, if set, only
// verifies tokens that were issued before a change of the secret.
func (d *Daemon) buildOrders() error {
	keys := []order.SecretKey{}
	for _, k := range [][2]string{
		{d.settings.Orders.SecretID, d.settings.Orders.Secret},
		{d.settings.Orders.PreviousSecretID, d.settings.Orders.PreviousSecret},
	} {
		if k[1] == "" {
			continue
		}
		secret, err := hex.DecodeString(k[1])
		if err != nil {
			return errors.Wrap(err, "decode order secret")
		}
		keys = append(keys, order.SecretKey{ID: k[0], Secret: secret})
	}
	var err error
	if d.signer, err = order.NewSigner(keys...); err != nil {
		return err
	}
	limits := order.DefaultLimits()
	limits.MaxEntries, limits.MaxBytes = d.settings.Orders.MaxEntries, d.settings.Orders.MaxBytes
	if d.ledger, err = order.NewLedger(d.id, d.clock, limits); err != nil {
		return err
	}
	d.executor = orders.New(orders.Options{
		Self: d.id, Signer: d.signer, Ledger: d.ledger, Directory: memberDirectory{d}, Peers: d.pool,
		Send: (&orderAdapter{d}).send, Log: d.log,
	})
	return nil
}

// buildProxy creates the proxy, the keeper of copied requests and the pool of
// upstream calls.
func (d *Daemon) buildProxy() error {
	calls, err := ants.NewPool(d.settings.Daemon.UpstreamCalls, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "create pool of upstream calls")
	}
	d.calls = calls
	d.receiver = handover.NewReceiver(d.clock, handover.DefaultLimits(), d.takeOverStream)
	d.proxy, err = proxy.New(proxy.Options{
		Clock: d.clock, Log: d.log, Directory: d.directory, Admission: d.admission,
		Versions: &proxy.RouteVersions{Config: d.config.Current, Moves: d.moves},
		Engine:   d.engine, App: d.app, Orders: &orderAdapter{d}, Config: d.config.Current,
		Observe: d.moves.Observe, Calls: d.calls,
		Records: d.receiver, Accounts: d.callerOf,
		RequestTimeout: d.settings.Limits.RequestTimeout, FirstByteTimeout: d.settings.Upstreams.FirstByteTimeout,
		TokenTimeout: d.settings.Upstreams.TokenTimeout, MigrationDeadline: d.settings.Upstreams.MigrationDeadline,
		ResumeWindow: d.settings.Limits.ResumeWindow, MaxStreamBytes: d.settings.Limits.MaxStreamBytes,
	})
	return err
}

// buildServer creates the HTTP server and the gRPC server for peers.
func (d *Daemon) buildServer() error {
	d.server = server.New(server.Options{
		Address: d.settings.Daemon.HTTPAddress, Clock: d.clock, Log: d.log, Proxy: d.proxy,
		Config: d.config, Operator: d.operator, Trail: d.trail, Daemon: d,
		MaxBodyBytes: d.settings.Limits.MaxBodyBytes, MaxHeaderBytes: d.settings.Limits.MaxHeaderBytes,
		AddressTTL: d.settings.Daemon.AddressTTL, BootstrapKeyHash: d.settings.Operators.BootstrapKeyHash,
	})
	d.grpc = grpc.NewServer(peer.ServerOptions()...)
	peerv1.RegisterPeerServer(d.grpc, &peer.Service{
		GossipHandler: d.gossip, ConfigHandler: d.config,
		OrderHandler: d.executor, StreamHandler: d.receiver, EvidenceHandler: d.moves,
	})
	return nil
}

// registerCallbacks connects the components that notify each other.
func (d *Daemon) registerCallbacks() {
	d.config.Subscribe(d.onSnapshot)
	d.config.Subscribe(d.moves.OnSnapshot)
	d.gossip.OnItem(d.onItem)
	d.gossip.OnNewerConfig(func(_ string, revision int64) { d.config.ObserveRevision(revision) })
	d.gossip.OnMembers(func(members []membership.Member) { d.budget.SetDaemons(countLive(members)) })
	d.gossip.OnMembers(d.reportDeadPeers)
	d.gossip.OnDeclaredDead(d.onDeclaredDead)
	d.directory.OnNotice(d.shareNotice)
}

// countLive returns the number of daemons that are not gone, at least 1.
func countLive(members []membership.Member) int {
	n := 0
	for _, m := range members {
		if !m.State.Gone() {
			n++
		}
	}
	return max(1, n)
}

// onSnapshot applies a new configuration to the components.
func (d *Daemon) onSnapshot(s *config.Snapshot) {
	d.directory.Update(s)
	accounts := make(map[string]admission.Account)
	s.Set.Each(object.KindClientAccount, func(o *object.Object) {
		if spec, ok := o.Spec.(*object.ClientAccount); ok {
			accounts[o.Metadata.Name] = admission.Account{Weight: spec.Weight, MaxInFlight: spec.MaxInFlight}
		}
	})
	d.admission.SetAccounts(accounts)
	d.admission.SetCapacity(d.directory.Capacity())
	d.gossip.SetSelf(func(m *membership.Member) { m.ConfigRevision = s.Revision })
	d.log.Info("configuration in force", "revision", s.Revision, "objects", s.Set.Len())
}

// onItem passes an item received through gossip to the component for its kind.
func (d *Daemon) onItem(item *peerv1.Item) {
	switch kind := item.GetKind().(type) {
	case *peerv1.Item_Change:
		d.config.HandleItem(item)
	case *peerv1.Item_UpstreamNotice:
		d.onUpstreamNotice(kind.UpstreamNotice)
	case *peerv1.Item_Verdict:
		d.moves.HandleItem(item)
	}
}

// onDeclaredDead is called when this daemon learns that the others have declared
// it dead. It gives up the placement lease and joins again.
func (d *Daemon) onDeclaredDead(m membership.Member) {
	d.log.Warn("other daemons declared this one dead", "incarnation", m.Incarnation)
	d.abandonPlacement()
	d.fire("declared_dead")
	d.fire("joined")
}

// Run serves until a drain has ended or a server fails. When ctx ends, it starts a
// drain with the drain timeout of the settings.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.settings.Daemon.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.runner, err = duty.NewRunner(d.settings.Daemon.DutyWorkers, d.clock, d.log); err != nil {
		return err
	}
	if err := d.startDuties(runCtx); err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- d.grpc.Serve(listener) }()
	go func() { failed <- d.server.Run() }()
	d.log.Info("daemon started", "id", d.id, "http", d.settings.Daemon.HTTPAddress, "peers", d.settings.Daemon.PeerAddress)
	select {
	case <-ctx.Done():
		d.Drain(d.settings.Daemon.DrainTimeout)
		<-d.drained
	case <-d.drained:
	case err = <-failed:
	}
	d.shutdown(cancel)
	return err
}

// startDuties starts the duties that the settings enable.
func (d *Daemon) startDuties(ctx context.Context) error {
	monitor := &upstreams.Monitor{
		Directory: d.directory, Engine: d.engine, Checker: d.checker,
		Interval: d.settings.Upstreams.HealthInterval, LoadInterval: d.settings.Upstreams.LoadInterval,
	}
	duties := []duty.Duty{
		{Name: "membership", Run: d.gossip.Run},
		{Name: "config-load", Run: d.runConfigLoad},
		{Name: "config-watch", Run: d.config.WatchStore},
		{Name: "config-fetch", Run: d.config.RunFetch},
		{Name: "config-settle", Run: d.config.RunSettler},
		{Name: "health", Run: monitor.RunChecks},
		{Name: "capacity", Run: d.runCapacity},
		{Name: "moves", Run: d.moves.Run},
		{Name: "request-sweep", Run: d.proxy.RunSweep},
		{Name: "notice-share", Run: d.runNoticeShare},
		{Name: "takeovers", Run: d.runTakeovers},
		{Name: "audit-trim", Run: d.runAuditTrim},
		{Name: "peer-connections", Run: d.runPeerConnections},
	}
	if d.cloud != nil {
		duties = append(duties, duty.Duty{Name: "reclaim-notices", Run: d.runReclaimNotices},
			duty.Duty{Name: "instance-list", Run: d.runInstanceList})
	}
	duties = append(duties, d.placementDuties()...)
	for _, each := range duties {
		if err := d.runner.Start(ctx, each); err != nil {
			return err
		}
	}
	return nil
}

// shutdown stops the servers, leaves the membership, ends the duties and closes
// the connections.
func (d *Daemon) shutdown(cancel context.CancelFunc) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = d.server.Shutdown(ctx)
	d.gossip.Leave(ctx)
	cancel()
	d.grpc.Stop()
	d.waitDuties()
	d.calls.Release()
	d.pool.Close()
	_ = d.store.Close()
	d.log.Info("daemon stopped")
}

// dutyStopTimeout bounds the wait for duties during shutdown, in case one of them
// is in a call that does not return when its context ends.
const dutyStopTimeout = time.Second

// waitDuties waits until the duties have ended or dutyStopTimeout has passed.
func (d *Daemon) waitDuties() {
	ended := make(chan struct{})
	go func() {
		d.runner.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-d.clock.After(dutyStopTimeout):
		d.log.Debug("duties still running after the stop timeout; exiting")
	}
}
