package driver

import (
	"context"
	"time"
)

// Preload queues a load of an adapter on a runner that this instance owns, before
// any request needs it.
func (d *Driver) Preload(ctx context.Context, runner, adapter string) error {
	if err := d.queuePreload(runner, adapter); err != nil {
		return err
	}
	d.Pump(ctx, time.Now())
	return nil
}

func (d *Driver) queuePreload(runner, adapter string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.runners[runner]
	if !ok || !e.Keeper.Owned() {
		return ownerRefusal()
	}
	e.Preload(adapter, time.Now())
	d.markChanged(e)
	return nil
}
