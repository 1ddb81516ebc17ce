package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/instance/composer"
	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
)

func (c *Commander) newServeCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an entry instance",
		Long: "Runs an entry instance with the settings of a YAML file. Each setting may be overridden by an\n" +
			"environment variable (SARDINETILLER_ and its name in capitals) and by a flag of its name.\n" +
			"SIGTERM stops it gracefully: no request in flight is aborted. SIGHUP reloads the keys and the\n" +
			"certificates.",
		Example: "  sardinetiller serve --settings a-1.yaml\n  sardinetiller serve --settings a-1.yaml --caller 127.0.0.1:8090 --level debug",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			overrides := make(map[string]string)
			for _, field := range configurer.Fields() {
				if cmd.Flags().Changed(field) {
					overrides[field] = cmd.Flags().Lookup(field).Value.String()
				}
			}
			config, err := configurer.Read(file, os.Environ(), overrides)
			if err != nil {
				return usage(err)
			}
			return c.serve(cmd.Context(), config)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "sardinetiller.yaml", "file with the settings of this daemon")
	for _, field := range configurer.Fields() {
		cmd.Flags().String(field, "", "overrides "+field+" of the file")
	}
	return cmd
}

func (c *Commander) serve(ctx context.Context, config configurer.Daemon) error {
	hangups := catchHangups()
	logger := c.newLogger(config)
	keys := &keyring{config: config}
	if err := keys.load(); err != nil {
		return usage(err)
	}
	go keys.reloadOnHangup(ctx, hangups, logger)
	listeners, err := listen(config)
	if err != nil {
		return usage(err)
	}
	s, err := composer.Compose(composer.Options{Config: config, Keys: keys.keys(), Listeners: listeners, Logger: logger})
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

func (c *Commander) newLogger(config configurer.Daemon) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(c.err))
	if config.Format == "json" {
		logger = log.NewJSONLogger(log.NewSyncWriter(c.err))
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(config.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", config.ID)
}

func listen(config configurer.Daemon) (server.Listeners, error) {
	var l server.Listeners
	err := listenOn(socket{"caller", config.Caller, &l.Caller}, socket{"operator", config.Operator, &l.Operator}, socket{"peer", config.Peer, &l.Peer})
	return l, err
}

// A keyring holds the keys and certificates of a daemon, which can be reloaded
// while it runs.
type keyring struct {
	config configurer.Daemon
	loaded atomic.Pointer[loadedKeys]
}

type loadedKeys struct {
	certificate *tls.Certificate
	pool        *x509.CertPool
	secret      string
	token       string
}

func (k *keyring) load() error {
	var loaded loadedKeys
	var err error
	if loaded.secret, err = readKey(k.config.Secret); err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	if loaded.token, err = readKey(k.config.Token); err != nil {
		return fmt.Errorf("token: %w", err)
	}
	if t := k.config.TLS; t.Cert != "" {
		certificate, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return fmt.Errorf("tls: %w", err)
		}
		authority, err := os.ReadFile(t.CA)
		if err != nil {
			return fmt.Errorf("tls.ca: %w", err)
		}
		loaded.pool = x509.NewCertPool()
		if !loaded.pool.AppendCertsFromPEM(authority) {
			return fmt.Errorf("tls.ca: %s contains no PEM certificate", t.CA)
		}
		loaded.certificate = &certificate
	}
	k.loaded.Store(&loaded)
	return nil
}

// keys returns accessors for an instance; each use sees the keys loaded last.
func (k *keyring) keys() composer.Keys {
	keys := composer.Keys{
		Secret:        func() string { return k.loaded.Load().secret },
		OperatorToken: func() string { return k.loaded.Load().token },
	}
	if k.config.TLS.Cert == "" {
		return keys
	}
	keys.PeerClientTLS = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.loaded.Load().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies against the CA pool loaded last
		VerifyConnection:   k.verify,
	}
	keys.PeerServerTLS = &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.loaded.Load().certificate, nil
		},
		VerifyConnection: k.verify,
	}
	return keys
}

// verify checks a peer's certificate against the CA loaded last. The host name is
// not checked, since instances are addressed by IP addresses that change: any
// certificate that the CA signed identifies an instance.
func (k *keyring) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: k.loaded.Load().pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func (k *keyring) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, logger log.Logger) {
	onHangup(ctx, hangups, func() {
		if err := k.load(); err != nil {
			_ = level.Error(logger).Log("msg", "could not reload the keys; keeping the current ones", "err", err)
			return
		}
		_ = level.Info(logger).Log("msg", "keys reloaded")
	})
}
