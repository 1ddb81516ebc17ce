package commander

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// catchHangups handles SIGHUP from now on until the process exits. Otherwise a
// SIGHUP during start-up or during a graceful stop would terminate the process
// and abort the requests in flight.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// onHangup calls do on each SIGHUP until ctx is cancelled.
func onHangup(ctx context.Context, hangups <-chan os.Signal, do func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			do()
		}
	}
}

// reloadGateway rereads the settings on SIGHUP. No setting can change while the
// instance runs, so a change is only logged and takes effect at the next start;
// requests are not affected.
func reloadGateway(ctx context.Context, hangups <-chan os.Signal, file string, config configurer.Gateway, record *recorder.Recorder) {
	onHangup(ctx, hangups, func() {
		fresh, err := configurer.ReadGateway(file)
		switch {
		case err != nil:
			record.Log(recorder.Lifecycle, "msg", "could not read the settings; keeping those loaded at startup", "err", err)
		case reflect.DeepEqual(fresh, config):
			record.Log(recorder.Lifecycle, "msg", "settings read; no changes")
		default:
			record.Log(recorder.Lifecycle, "msg", "settings have changed; restart to apply them")
		}
	})
}
