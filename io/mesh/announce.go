package mesh

import (
	"context"
	"time"

	"balsamproxy/task"
)

// announceInterval is the minimum time between two announcements to peers, so that
// changes in quick succession are combined into one message.
const announceInterval = 40 * time.Millisecond

// laterInterval is how long a change that no peer waits for is held back. A
// starting daemon has several of them.
const laterInterval = 500 * time.Millisecond

// announce applies the status of this daemon to its own membership table and
// schedules an announcement to all peers.
func (daemon *Daemon) announce() {
	daemon.view.updateLocal(daemon.status())
	select {
	case daemon.announceWakeup <- struct{}{}:
	default:
	}
}

// announceLater is like announce for a change that no peer waits for. It becomes
// part of an earlier announcement if there is one.
func (daemon *Daemon) announceLater() {
	daemon.view.updateLocal(daemon.status())
	select {
	case daemon.laterWakeup <- struct{}{}:
	default:
	}
}

// runAnnounce sends scheduled announcements to peers until ctx ends.
func (daemon *Daemon) runAnnounce(ctx context.Context) error {
	later := time.NewTimer(0)
	defer later.Stop()
	<-later.C
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-daemon.laterWakeup:
			later.Reset(laterInterval)
			continue
		case <-later.C:
		case <-daemon.announceWakeup:
		}
		later.Stop()
		daemon.peerServer.BroadcastStatus()
		task.Sleep(ctx, announceInterval)
	}
}
