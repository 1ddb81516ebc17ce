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

// onHangup calls do at each SIGHUP until ctx ends.
func onHangup(ctx context.Context, do func()) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			do()
		}
	}
}

// reloadGateway reads the settings again on SIGHUP. Nothing of what an instance
// takes from them may change while it runs, so a change is told and waits for
// the next start; requests are not touched.
func reloadGateway(ctx context.Context, file string, config configurer.Gateway, record *recorder.Recorder) {
	onHangup(ctx, func() {
		fresh, err := configurer.ReadGateway(file)
		switch {
		case err != nil:
			record.Log(recorder.Lifecycle, "msg", "settings not read; those of the start hold", "err", err)
		case reflect.DeepEqual(fresh, config):
			record.Log(recorder.Lifecycle, "msg", "settings read; nothing has changed")
		default:
			record.Log(recorder.Lifecycle, "msg", "settings have changed; a restart is needed")
		}
	})
}
