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
	s := &Deployment{Plan: plan, cancel: cancel, ctx: standinCtx, logger: logger}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Address returns the caller address of instance i.
func (s *Deployment) Address(i int) string {
	return s.Instances[i].Server.Listeners.Caller.Addr().String()
}

// Apply changes one file of the settings and returns the new revision.
func (s *Deployment) Apply(ctx context.Context, file string, content []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.files[file] = content
	revision, err := s.publisher().Apply(ctx, publisher.Edit{Files: s.files, Base: s.revision, Author: "stage", Note: file})
	if err == nil {
		s.revision = revision
	}
	return revision, err
}

// Launch starts an entry instance in a failure domain.
func (s *Deployment) Launch(id, domain string) (*Instance, error) {
	listeners, err := listeners()
	if err != nil {
		return nil, err
	}
	config := configurer.Defaults
	config.ID = id
	config.Domain = domain
	config.Platform = s.Platform.Listener.Addr().String()
	config.Lease = s.Plan.Lease
	config.Beat = s.Plan.Beat
	config.Poll = s.Plan.Poll
	config.Notice = 500 * time.Millisecond
	composed, err := composer.Compose(composer.Options{
		Config: config, Listeners: listeners, LRU: s.Plan.LRU,
		Keys:   composer.Keys{Secret: func() string { return "stage" }, OperatorToken: func() string { return "" }},
		Logger: log.With(s.logger, "instance", id),
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(s.ctx)
	i := &Instance{Server: composed, done: make(chan struct{}), stop: stop}
	s.mu.Lock()
	s.allInstances = append(s.allInstances, i)
	s.mu.Unlock()
	s.running.Go(func() {
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
func (s *Deployment) Stop() {
	s.mu.Lock()
	launched := s.allInstances
	s.mu.Unlock()
	for _, i := range launched {
		i.stop()
	}
	for _, i := range launched {
		<-i.done
	}
	s.cancel()
	s.running.Wait()
}

func (s *Deployment) publisher() *publisher.Publisher {
	address := s.Platform.Listener.Addr().String()
	token := 0
	return &publisher.Publisher{
		Store: &storer.Client{Address: address, Timeout: time.Second},
		Table: &tabler.Client{Address: address, Timeout: time.Second},
		Token: func() string { token++; return fmt.Sprintf("stage-%d-%d", s.revision, token) },
	}
}

func (s *Deployment) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	engines, err := s.startEngines()
	if err != nil {
		return err
	}
	services, err := s.startServices()
	if err != nil {
		return err
	}
	s.files = s.Plan.tree(engines, services)
	if _, err := s.Apply(s.ctx, "root.yaml", s.files["root.yaml"]); err != nil {
		return err
	}
	for i := range s.Plan.Instances {
		instance, err := s.Launch(fmt.Sprintf("%s-%d", s.Plan.domain(i), 1+i/len(s.Plan.Domains)), s.Plan.domain(i))
		if err != nil {
			return err
		}
		s.Instances = append(s.Instances, instance)
	}
	return s.waitReady(ctx)
}

func (s *Deployment) startPlatform() error {
	l, err := listener.ListenLoopback()
	if err != nil {
		return err
	}
	s.Platform = &registrar.Platform{
		Listener: l, Lag: platformLag, Rate: s.Plan.Rate * s.Plan.Speed, Together: s.Plan.Together,
	}
	s.runStandin(s.Platform.Run)
	return nil
}

func (s *Deployment) startEngines() ([]string, error) {
	var addresses []string
	for i := range s.Plan.Engines {
		l, err := listener.ListenLoopback()
		if err != nil {
			return nil, err
		}
		e := &generator.Engine{
			Batch: s.Plan.Batch, Fencing: s.Plan.Fencing, Listener: l, Name: s.Plan.engineName(i), Slots: s.Plan.Slots,
			Step: time.Duration(float64(tokenTime) / s.Plan.Speed), Weights: s.Platform.Listener.Addr().String(),
		}
		s.Engines = append(s.Engines, e)
		addresses = append(addresses, l.Addr().String())
		s.runStandin(e.Run)
	}
	return addresses, nil
}

func (s *Deployment) startServices() ([]string, error) {
	var addresses []string
	for range s.Plan.Services {
		l, err := listener.ListenLoopback()
		if err != nil {
			return nil, err
		}
		service := &responder.Service{Listener: l}
		s.Services = append(s.Services, service)
		addresses = append(addresses, l.Addr().String())
		s.runStandin(service.Run)
	}
	return addresses, nil
}

func (s *Deployment) runStandin(f func(context.Context) error) {
	s.running.Go(func() { _ = f(s.ctx) }) // if a stand-in fails, requests to it fail
}

// readyTimeout limits how long a deployment may take to become ready.
const readyTimeout = 30 * time.Second

// waitReady waits until every instance is ready and sees a live owner of every runner.
func (s *Deployment) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if s.ready() {
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

func (s *Deployment) ready() bool {
	for _, i := range s.Instances {
		if ready, _ := i.Server.Ready(); !ready {
			return false
		}
		views := i.Server.Fleet.Statuses()
		if len(views) == 0 && s.Plan.Engines >= len(s.Plan.Domains) {
			return false
		}
		for _, v := range views {
			if v.Owner == "" || !i.Server.Alive(v.Owner) {
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
func (s *Deployment) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
