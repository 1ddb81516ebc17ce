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

// catchHangups takes SIGHUP from now on until the process ends. A hangup that
// comes before it is asked for, or while the program stops gracefully, would
// else end the process and cut off its callers.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// onHangup calls do at each hangup until ctx ends.
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

// reloadGateway reads the settings again on SIGHUP. Nothing of what an instance
// takes from them may change while it runs, so a change is told and waits for
// the next start; requests are not touched.
func reloadGateway(ctx context.Context, hangups <-chan os.Signal, file string, config configurer.Gateway, record *recorder.Recorder) {
	onHangup(ctx, hangups, func() {
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
