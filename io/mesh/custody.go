package mesh

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy"
	"balsamproxy/core/announced"
	"balsamproxy/io/peer"
)

const (
	kindKeepRecords    peer.Kind = "keep-target-records"
	kindReleaseRecords peer.Kind = "release-target-records"
	kindRecollect      peer.Kind = "recollect-targets"

	// custodyTTL is how long a daemon keeps the records of another host: as long as the
	// store keeps the earlier ones that they correct.
	custodyTTL = 10 * time.Minute
	// maxCustodyBytes bounds the records of a host. A target takes about 200 bytes.
	maxCustodyBytes = 64 << 10
	// custodyTimeout bounds one question about records.
	custodyTimeout = 300 * time.Millisecond
	// recollectionsWanted is how many peers a daemon that starts asks for what they
	// remember before it believes the records in the store. More are asked if they say
	// that they keep a record, and up to maxRecollections while none knows the earlier run.
	recollectionsWanted = 2
	maxRecollections    = 16
	// maxRecollecting bounds the peers that wait to be asked.
	maxRecollecting = 64
)

var errRecordsTooLong = errors.New("mesh: the records of a host are too long to be kept")

// custody keeps the records of targets for daemons that cannot write them to the store.
// Its zero value is empty. It is safe for concurrent use.
type custody struct {
	mutex sync.Mutex
	kept  map[balsamproxy.HostID]keptRecords
}

type keptRecords struct {
	records []announced.Record
	until   time.Time
}

// keep stores the records of a host together with those that it has sent before, since
// messages of two runs of its daemon may overtake each other.
func (custody *custody) keep(host balsamproxy.HostID, records []announced.Record, now time.Time) {
	custody.mutex.Lock()
	defer custody.mutex.Unlock()
	if custody.kept == nil {
		custody.kept = map[balsamproxy.HostID]keptRecords{}
	}
	custody.expireLocked(now)
	custody.kept[host] = keptRecords{records: announced.MergeRecords(records, custody.kept[host].records), until: now.Add(custodyTTL)}
}

func (custody *custody) release(host balsamproxy.HostID) {
	custody.mutex.Lock()
	defer custody.mutex.Unlock()
	delete(custody.kept, host)
}

func (custody *custody) expireLocked(now time.Time) {
	maps.DeleteFunc(custody.kept, func(_ balsamproxy.HostID, kept keptRecords) bool { return !now.Before(kept.until) })
}

func (custody *custody) records(host balsamproxy.HostID, now time.Time) []announced.Record {
	custody.mutex.Lock()
	defer custody.mutex.Unlock()
	custody.expireLocked(now)
	return custody.kept[host].records
}

// hosts returns the hosts whose records are kept.
func (custody *custody) hosts(now time.Time) []balsamproxy.HostID {
	custody.mutex.Lock()
	defer custody.mutex.Unlock()
	custody.expireLocked(now)
	return slices.Sorted(maps.Keys(custody.kept))
}

type keepRequest struct {
	// Records are encoded as in the store.
	Records []byte `cbor:"1,keyasint"`
}

type releaseRequest struct{}

type custodyResponse struct{}

type recollectRequest struct {
	// Incarnation is the run that asks.
	Incarnation string `cbor:"1,keyasint"`
}

type recollectResponse struct {
	// Known reports whether the peer had a link to an earlier run, and Targets are those
	// that accepted calls as far as it knows.
	Known   bool                   `cbor:"1,keyasint,omitempty"`
	Targets []balsamproxy.TargetID `cbor:"2,keyasint,omitempty"`
	// Records are those kept for the host, encoded as in the store.
	Records []byte `cbor:"3,keyasint,omitempty"`
}

// serveCustody answers daemons that ask this one to keep or return their records.
func (daemon *Daemon) serveCustody(server *peer.Server) {
	peer.Handle(server, kindKeepRecords, func(_ context.Context, from balsamproxy.HostID, request keepRequest) (custodyResponse, error) {
		if len(request.Records) > maxCustodyBytes {
			return custodyResponse{}, errRecordsTooLong
		}
		daemon.custody.keep(from, daemon.decodeTargets(request.Records), daemon.clock.Now())
		return custodyResponse{}, nil
	})
	peer.Handle(server, kindReleaseRecords, func(_ context.Context, from balsamproxy.HostID, _ releaseRequest) (custodyResponse, error) {
		daemon.custody.release(from)
		return custodyResponse{}, nil
	})
	peer.Handle(server, kindRecollect, func(_ context.Context, from balsamproxy.HostID, request recollectRequest) (recollectResponse, error) {
		var response recollectResponse
		response.Targets, response.Known = daemon.view.formerTargets(from, request.Incarnation)
		records := daemon.custody.records(from, daemon.clock.Now())
		if len(records) == 0 {
			return response, nil
		}
		var err error
		response.Records, err = encodeRecords(records)
		return response, err
	})
}

// depositTargets asks all linked peers to keep the records of this host, and returns how
// many do.
func (daemon *Daemon) depositTargets(ctx context.Context) int {
	records, err := daemon.encodeTargets()
	if err != nil {
		return 0
	}
	return askAll[keepRequest, custodyResponse](ctx, daemon, kindKeepRecords, keepRequest{Records: records})
}

// releaseTargets tells the linked peers that the store has the records of this host.
func (daemon *Daemon) releaseTargets(ctx context.Context) {
	askAll[releaseRequest, custodyResponse](ctx, daemon, kindReleaseRecords, releaseRequest{})
}

// askAll asks all linked peers at once and returns how many have answered.
func askAll[Q, A any](ctx context.Context, daemon *Daemon, kind peer.Kind, question Q) int {
	ctx, cancel := context.WithTimeout(ctx, custodyTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var answered atomic.Int64
	for _, host := range daemon.view.linkedHosts() {
		if host == daemon.settings.Host {
			continue
		}
		asking.Go(func() {
			if _, err := peer.Ask[Q, A](ctx, daemon.pool, host, kind, question); err == nil {
				answered.Add(1)
			}
		})
	}
	asking.Wait()
	return int(answered.Load())
}

// recollection collects what peers remember of the earlier run of this daemon.
type recollection struct {
	daemon *Daemon
	// read delivers the records found in the store once, or none. They are then stored.
	read      chan []announced.Record
	hasRead   bool
	stored    []announced.Record
	answers   []announced.Recollection
	confirmed bool
}

// run asks the peers that become linked until ctx ends. When enough have answered, the
// restored targets that one of them confirms and none contradicts receive calls.
func (recollection *recollection) run(ctx context.Context) error {
	daemon := recollection.daemon
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case recollection.stored = <-recollection.read:
			recollection.hasRead = true
		case host := <-daemon.recollecting:
			if recollection.confirmed && !daemon.view.keepsRecordsOf(host, daemon.settings.Host) {
				continue
			}
			recollection.ask(ctx, host)
		}
		recollection.confirm()
	}
}

func (recollection *recollection) ask(ctx context.Context, host balsamproxy.HostID) {
	daemon := recollection.daemon
	ctx, cancel := context.WithTimeout(ctx, custodyTimeout)
	defer cancel()
	answer, err := peer.Ask[recollectRequest, recollectResponse](ctx, daemon.pool, host, kindRecollect, recollectRequest{Incarnation: daemon.incarnation})
	if err != nil {
		return
	}
	remembered := announced.Recollection{Known: answer.Known, Targets: answer.Targets}
	if len(answer.Records) > 0 {
		remembered.Records = daemon.decodeTargets(answer.Records)
		daemon.local.Restore(remembered.Records)
		// The store may still have the earlier ones.
		daemon.recorder.noteKept()
		daemon.recorder.mark()
	}
	recollection.answers = append(recollection.answers, remembered)
}

func (recollection *recollection) confirm() {
	others := max(recollection.daemon.view.otherMembers(), 1)
	suffices := announced.RecollectionSuffices(recollection.answers, min(recollectionsWanted, others), min(maxRecollections, others))
	if recollection.confirmed || !recollection.hasRead || !suffices {
		return
	}
	recollection.confirmed = true
	confirmed := announced.Confirmed(recollection.stored, recollection.answers)
	recollection.daemon.log.Info().Str("event", "targets-recollected").Int("stored", len(recollection.stored)).
		Int("confirmed", len(confirmed)).Int("peers", len(recollection.answers)).
		Int("peers-that-know", announced.Knowing(recollection.answers)).Send()
	recollection.daemon.local.Confirm(confirmed)
	recollection.answers = nil
}
