package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/streams"
)

const (
	// originDelay is how long an origin waits for others of the same entry, so that a
	// notice carries several. A stream whose entry is lost within that time cannot be
	// taken up while several versions serve.
	originDelay = 40 * time.Millisecond
	// originCopies is the number of state replicas that receive each origin.
	originCopies = 2
	// originCandidates is the number of replicas that are asked first for an origin. It
	// exceeds originCopies because a replica that failed is replaced by the next one.
	originCandidates = originCopies + 1
	// maxNoticeKeys limits the origins of one notice.
	maxNoticeKeys = 2048
	// originNoticeTimeout limits the time to send a notice.
	originNoticeTimeout = time.Second
	// originQueryTimeout limits the search for the origin of a stream.
	originQueryTimeout = 250 * time.Millisecond
)

// streamOrigins records at which software version each resumable stream began, here
// and at state replicas, so that any entry can take the stream up at that version.
// The hash of a stream selects its replicas, which spreads the load over all of them.
type streamOrigins struct {
	entry *Entry
	table *streams.Table
	// wake is signalled at the first pending origin.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the origins that were not sent yet, by version.
	pending map[string][]streams.Key
	// runs holds the run of each replica's process, by address.
	runs map[string]uint64
}

func newStreamOrigins(e *Entry) *streamOrigins {
	return &streamOrigins{entry: e, table: streams.NewTable(), wake: make(chan struct{}, 1), pending: make(map[string][]streams.Key), runs: make(map[string]uint64)}
}

// record records the software version at which a stream begins.
func (o *streamOrigins) record(key streams.Key, version string) {
	o.table.Add([]streams.Origins{{Version: version, Keys: []streams.Key{key}}}, time.Now())
	o.mu.Lock()
	o.pending[version] = append(o.pending[version], key)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// loop sends the pending origins until the entry is closed.
func (o *streamOrigins) loop() {
	for {
		select {
		case <-o.wake:
		case <-o.entry.ctx.Done():
			return
		}
		time.Sleep(originDelay)
		o.sendPending()
	}
}

// sendPending sends the pending origins to their replicas.
func (o *streamOrigins) sendPending() {
	o.mu.Lock()
	pending := o.pending
	o.pending = make(map[string][]streams.Key)
	o.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	byReplica := make(map[string]*link.OriginsNotice)
	for version, keys := range pending {
		for _, key := range keys {
			for _, address := range firstOf(o.replicasOf(key), originCopies) {
				addToNotice(byReplica, address, version, key)
			}
		}
	}
	if len(byReplica) == 0 {
		o.entry.log.Warn("Origins of streams not recorded; no state replica is known.", zap.Int("versions", len(pending)))
	}
	for address, notice := range byReplica {
		o.entry.goTask(func() { o.sendOrReplace(address, notice) })
	}
}

func addToNotice(byReplica map[string]*link.OriginsNotice, address, version string, key streams.Key) {
	notice := byReplica[address]
	if notice == nil {
		notice = &link.OriginsNotice{}
		byReplica[address] = notice
	}
	i := slices.IndexFunc(notice.Origins, func(origins streams.Origins) bool { return origins.Version == version })
	if i < 0 {
		i = len(notice.Origins)
		notice.Origins = append(notice.Origins, streams.Origins{Version: version})
	}
	notice.Origins[i].Keys = append(notice.Origins[i].Keys, key)
}

// sendOrReplace sends a notice to a replica or, if that fails, to the replica that
// answered best lately.
func (o *streamOrigins) sendOrReplace(address string, notice *link.OriginsNotice) {
	if o.send(address, notice) {
		return
	}
	for _, other := range o.entry.replicaClient.preferredReplicas() {
		if other != address {
			o.send(other, notice)
			return
		}
	}
}

func (o *streamOrigins) send(address string, notice *link.OriginsNotice) bool {
	params, err := link.Encode(notice)
	if err == nil {
		ctx, cancel := context.WithTimeout(o.entry.ctx, originNoticeTimeout)
		err = o.entry.options.Caller.Notify(ctx, address, link.MethodOrigins, params)
		cancel()
	}
	if err != nil && o.entry.ctx.Err() == nil {
		o.entry.log.Warn("Origins of streams not sent.", zap.String("replica", address), zap.Error(err))
	}
	return err == nil
}

// noteRun sends the origins of a replica again if its process has started again, since
// it has lost them.
func (o *streamOrigins) noteRun(address string, run uint64) {
	o.mu.Lock()
	known := o.runs[address]
	o.runs[address] = run
	o.mu.Unlock()
	if known == run || known == 0 {
		return
	}
	for _, origins := range o.table.All(maxNoticeKeys, time.Now()) {
		o.send(address, &link.OriginsNotice{Origins: []streams.Origins{origins}})
	}
}

// replicasOf returns the known replicas in the order in which they hold the origin of a
// stream. Replicas that failed lately come last.
func (o *streamOrigins) replicasOf(key streams.Key) []string {
	return o.entry.replicaClient.orderFor(string(key[:]))
}

func firstOf(list []string, n int) []string { return list[:min(n, len(list))] }

// find returns the software version at which a stream began.
func (o *streamOrigins) find(ctx context.Context, key streams.Key) (version string, known bool) {
	if version, known = o.table.Version(key, time.Now()); known {
		return version, true
	}
	params, err := link.Encode(&link.OriginRequest{Key: key})
	if err != nil {
		o.entry.log.Warn("Origin of a stream not asked for.", zap.Error(err))
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	replicas := o.replicasOf(key)
	candidates := firstOf(replicas, originCandidates)
	for _, list := range [][]string{candidates, replicas[len(candidates):]} {
		if version, known = o.askAll(ctx, list, params); known {
			o.table.Add([]streams.Origins{{Version: version, Keys: []streams.Key{key}}}, time.Now())
			return version, true
		}
	}
	return "", false
}

// askAll asks several replicas at once and returns the first version that one knows.
func (o *streamOrigins) askAll(ctx context.Context, replicas []string, params []byte) (version string, known bool) {
	replies := make(chan link.OriginReply, len(replicas))
	for _, address := range replicas {
		go func() { replies <- o.ask(ctx, address, params) }()
	}
	for range replicas {
		if reply := <-replies; reply.Known {
			return reply.Version, true
		}
	}
	return "", false
}

// ask returns the answer of one replica. A replica that does not answer knows nothing.
func (o *streamOrigins) ask(ctx context.Context, address string, params []byte) (reply link.OriginReply) {
	data, err := o.entry.options.Caller.Call(ctx, address, link.MethodOrigin, params)
	if err == nil {
		err = link.Decode(data, &reply)
	}
	// The search is cancelled once another replica has answered.
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		o.entry.log.Info("State replica did not tell the origin of a stream.", zap.String("replica", address), zap.Error(err))
	}
	return reply
}
