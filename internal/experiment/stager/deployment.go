package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/sardinetiller/sardinetiller/internal/instance/composer"
	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/registrar"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A Deployment is a running deployment.
type Deployment struct {
	Engines   []*generator.Engine
	Instances []*Instance
	Plan      Plan
	Platform  *registrar.Platform
	Services  []*responder.Service

	cancel       context.CancelFunc // of the stand-ins
	ctx          context.Context    // of the stand-ins
	files        map[string][]byte
	allInstances []*Instance // including stopped and replaced ones
	logger       log.Logger
	mu           sync.Mutex
	revision     uint64
	running      sync.WaitGroup
}

// An Instance is an entry instance of a deployment.
type Instance struct {
	Server *server.Server

	done chan struct{}
	stop context.CancelFunc
}

// platformLag is the lag of the instance list.
const platformLag = 2 * time.Second

// Start starts a deployment and waits until every instance is ready to serve.
func Start(ctx context.Context, plan Plan, logger log.Logger) (*Deployment, error) {
	standinCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the stand-ins outlive ctx; Stop stops them last
	d := &Deployment{Plan: plan, cancel: cancel, ctx: standinCtx, logger: logger}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Address returns the caller address of instance i.
func (d *Deployment) Address(i int) string {
	return d.Instances[i].Server.Listeners.Caller.Addr().String()
}

// Apply changes one file of the settings and returns the new revision.
func (d *Deployment) Apply(ctx context.Context, file string, content []byte) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[file] = content
	revision, err := d.publisher().Apply(ctx, publisher.Edit{Files: d.files, Base: d.revision, Author: "stage", Note: file})
	if err == nil {
		d.revision = revision
	}
	return revision, err
}

// Launch starts an entry instance in a failure domain.
func (d *Deployment) Launch(id, domain string) (*Instance, error) {
	listeners, err := listeners()
	if err != nil {
		return nil, err
	}
	config := configurer.Defaults
	config.ID = id
	config.Domain = domain
	config.Platform = d.Platform.Listener.Addr().String()
	config.Lease = d.Plan.Lease
	config.Beat = d.Plan.Beat
	config.Poll = d.Plan.Poll
	config.Notice = 500 * time.Millisecond
	composed, err := composer.Compose(composer.Options{
		Config: config, Listeners: listeners, LRU: d.Plan.LRU,
		Keys:   composer.Keys{Secret: func() string { return "stage" }, OperatorToken: func() string { return "" }},
		Logger: log.With(d.logger, "instance", id),
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(d.ctx)
	i := &Instance{Server: composed, done: make(chan struct{}), stop: stop}
	d.mu.Lock()
	d.allInstances = append(d.allInstances, i)
	d.mu.Unlock()
	d.running.Go(func() {
		defer close(i.done)
		_ = composed.Run(ctx) // if a listener fails, the instance never becomes ready
	})
	return i, nil
}

// Stop stops the instance gracefully and waits until it has stopped.
func (i *Instance) Stop() {
	i.stop()
	<-i.done
}

// Stop stops the instances gracefully and then the stand-ins, which the instances
// need until they have stopped.
func (d *Deployment) Stop() {
	d.mu.Lock()
	launched := d.allInstances
	d.mu.Unlock()
	for _, i := range launched {
		i.stop()
	}
	for _, i := range launched {
		<-i.done
	}
	d.cancel()
	d.running.Wait()
}

func (d *Deployment) publisher() *publisher.Publisher {
	address := d.Platform.Listener.Addr().String()
	token := 0
	return &publisher.Publisher{
		Store: &storer.Client{Address: address, Timeout: time.Second},
		Table: &tabler.Client{Address: address, Timeout: time.Second},
		Token: func() string { token++; return fmt.Sprintf("stage-%d-%d", d.revision, token) },
	}
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	engines, err := d.startEngines()
	if err != nil {
		return err
	}
	services, err := d.startServices()
	if err != nil {
		return err
	}
	d.files = d.Plan.tree(engines, services)
	if _, err := d.Apply(d.ctx, "root.yaml", d.files["root.yaml"]); err != nil {
		return err
	}
	for i := range d.Plan.Instances {
		instance, err := d.Launch(fmt.Sprintf("%s-%d", d.Plan.domain(i), 1+i/len(d.Plan.Domains)), d.Plan.domain(i))
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, instance)
	}
	return d.waitReady(ctx)
}

func (d *Deployment) startPlatform() error {
	l, err := listener.ListenLoopback()
	if err != nil {
		return err
	}
	d.Platform = &registrar.Platform{
		Listener: l, Lag: platformLag, Rate: d.Plan.Rate * d.Plan.Speed, Together: d.Plan.Together,
	}
	d.runStandin(d.Platform.Run)
	return nil
}

func (d *Deployment) startEngines() ([]string, error) {
	var addresses []string
	for i := range d.Plan.Engines {
		l, err := listener.ListenLoopback()
		if err != nil {
			return nil, err
		}
		e := &generator.Engine{
			Batch: d.Plan.Batch, Fencing: d.Plan.Fencing, Listener: l, Name: d.Plan.engineName(i), Slots: d.Plan.Slots,
			Step: time.Duration(float64(tokenTime) / d.Plan.Speed), Weights: d.Platform.Listener.Addr().String(),
		}
		d.Engines = append(d.Engines, e)
		addresses = append(addresses, l.Addr().String())
		d.runStandin(e.Run)
	}
	return addresses, nil
}

func (d *Deployment) startServices() ([]string, error) {
	var addresses []string
	for range d.Plan.Services {
		l, err := listener.ListenLoopback()
		if err != nil {
			return nil, err
		}
		service := &responder.Service{Listener: l}
		d.Services = append(d.Services, service)
		addresses = append(addresses, l.Addr().String())
		d.runStandin(service.Run)
	}
	return addresses, nil
}

func (d *Deployment) runStandin(f func(context.Context) error) {
	d.running.Go(func() { _ = f(d.ctx) }) // if a stand-in fails, requests to it fail
}

// readyTimeout limits how long a deployment may take to become ready.
const readyTimeout = 30 * time.Second

// waitReady waits until every instance is ready and sees a live owner of every runner.
func (d *Deployment) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("the deployment was not ready within %s", readyTimeout)
}

func (d *Deployment) ready() bool {
	for _, i := range d.Instances {
		if ready, _ := i.Server.Ready(); !ready {
			return false
		}
		statuses := i.Server.Fleet.Statuses()
		if len(statuses) == 0 && d.Plan.Engines >= len(d.Plan.Domains) {
			return false
		}
		for _, status := range statuses {
			if status.Owner == "" || !i.Server.Alive(status.Owner) {
				return false
			}
		}
	}
	return true
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func listeners() (server.Listeners, error) {
	var l server.Listeners
	var err error
	if l.Caller, err = listener.ListenLoopback(); err != nil {
		return l, err
	}
	if l.Operator, err = listener.ListenLoopback(); err != nil {
		return l, err
	}
	l.Peer, err = listener.ListenLoopback()
	return l, err
}

// Revision returns the last revision that Apply made.
func (d *Deployment) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}
