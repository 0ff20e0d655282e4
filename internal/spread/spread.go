package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "spread"

// Intervals and bounds of the exchange with peers.
const (
	comparePeriod = 500 * time.Millisecond // mean time between two comparisons
	fanout        = 3                      // peers to which a change is pushed
	callTimeout   = 500 * time.Millisecond // bound of one comparison or push
)

const (
	methodCompare rpc.Method = "spread.compare"
	methodPush    rpc.Method = "spread.push"
)

// Peers returns the control addresses (ip:port) of the other daemons.
type Peers func() []string

// topicState is one topic in a comparison or a push. Versions are sent only when
// the digests differ.
type topicState struct {
	Topic    TopicName     `json:"topic"`
	Digest   uint64        `json:"digest,omitempty"`
	Versions []ItemVersion `json:"versions,omitempty"`
	Items    []Item        `json:"items,omitempty"`
}

type compareRequest struct {
	Topics []topicState `json:"topics"`
	// Full says that the topics carry versions and items rather than digests.
	Full bool `json:"full,omitempty"`
}

type compareResponse struct {
	// Topics holds, for a comparison by digests, the topics that differ, with the
	// answering daemon's versions; for a full comparison, the items that the
	// calling daemon lacks.
	Topics []topicState `json:"topics,omitempty"`
}

type pushRequest struct {
	Topics []topicState `json:"topics"`
}

type pushResponse struct{}

// Replicator exchanges the items of its topics with the other daemons. It is safe for
// concurrent use.
type Replicator struct {
	client *rpc.Client
	log    *zap.Logger

	mu     sync.Mutex
	topics map[TopicName]Topic
	peers  Peers

	pushQueue  chan TopicName
	background kernel.Background
}

const pushQueueLength = 256 // changed topics that wait for their push

// New returns a Replicator without topics and peers. It registers its methods with server.
func New(server *rpc.Server, client *rpc.Client, log *zap.Logger) *Replicator {
	r := &Replicator{
		client:    client,
		log:       log.Named(string(ServiceName)),
		topics:    map[TopicName]Topic{},
		peers:     func() []string { return nil },
		pushQueue: make(chan TopicName, pushQueueLength),
	}
	rpc.Handle(server, methodCompare, r.serveCompare)
	rpc.Handle(server, methodPush, r.servePush)
	return r
}

// Add registers a topic. It must be called before Start.
func (r *Replicator) Add(t Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics[t.Name()] = t
}

// SetPeers sets the function that returns the addresses of the other daemons.
func (r *Replicator) SetPeers(p Peers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = p
}

// SchedulePush queues a push of a topic's changed items to a few random peers. It
// does not block. When the queue is full, the items reach the peers with the next
// push of the topic or by comparison.
func (r *Replicator) SchedulePush(name TopicName) {
	select {
	case r.pushQueue <- name:
	default:
	}
}

// Name implements kernel.Service.
func (r *Replicator) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (r *Replicator) After() []kernel.Name { return []kernel.Name{"control"} }

// Ready implements kernel.Service.
func (r *Replicator) Ready() error { return nil }

// Start implements kernel.Service.
func (r *Replicator) Start(context.Context) error {
	r.background.Go(r.compareLoop)
	r.background.Go(r.pushLoop)
	return nil
}

// Stop implements kernel.Service.
func (r *Replicator) Stop(context.Context) error {
	r.background.Stop()
	return nil
}

func (r *Replicator) compareLoop(ctx context.Context) {
	for {
		pause := comparePeriod/2 + rand.N(comparePeriod)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		for _, peer := range r.randomPeers(1) {
			r.compare(ctx, peer)
		}
	}
}

// randomPeers returns the addresses of up to count peers in random order.
func (r *Replicator) randomPeers(count int) []string {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	all := peers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

func (r *Replicator) topicList() []Topic {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Topic, 0, len(r.topics))
	for _, t := range r.topics {
		list = append(list, t)
	}
	return list
}

func (r *Replicator) topic(name TopicName) Topic {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[name]
}

// Pull compares all topics with one peer now. It is for peers that are known to have
// newer items.
func (r *Replicator) Pull(ctx context.Context, peer string) { r.compare(ctx, peer) }

// compare exchanges digests with a peer, then, in both directions, the newer items
// of the topics whose digests differ.
func (r *Replicator) compare(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &compareRequest{}
	for _, t := range r.topicList() {
		request.Topics = append(request.Topics, topicState{Topic: t.Name(), Digest: digest(t.Versions())})
	}
	response, err := rpc.Call[compareResponse](ctx, r.client, peer, methodCompare, request)
	if err != nil {
		r.log.Debug("comparison of digests with a peer failed", zap.String("step", "compare"), zap.String("peer", peer), zap.Error(err))
		return
	}
	if len(response.Topics) > 0 {
		r.reconcile(ctx, peer, response.Topics)
	}
}

// reconcile sends the items that the peer lacks and merges those that are newer there.
func (r *Replicator) reconcile(ctx context.Context, peer string, peerStates []topicState) {
	full := &compareRequest{Full: true}
	for _, state := range peerStates {
		t := r.topic(state.Topic)
		if t == nil {
			continue
		}
		full.Topics = append(full.Topics, topicState{
			Topic:    state.Topic,
			Versions: t.Versions(),
			Items:    t.Newer(state.Versions),
		})
	}
	response, err := rpc.Call[compareResponse](ctx, r.client, peer, methodCompare, full)
	if err != nil {
		r.log.Debug("exchange of items with a peer failed", zap.String("step", "reconcile"), zap.String("peer", peer), zap.Error(err))
		return
	}
	r.merge(response.Topics)
}

// merge merges items from a peer and schedules a push of the topics that changed.
func (r *Replicator) merge(states []topicState) {
	for _, state := range states {
		t := r.topic(state.Topic)
		if t != nil && len(state.Items) > 0 && t.Merge(state.Items) {
			r.SchedulePush(state.Topic)
		}
	}
}

func (r *Replicator) serveCompare(_ context.Context, request *compareRequest) (*compareResponse, error) {
	if request.Full {
		return r.serveFullComparison(request), nil
	}
	response := &compareResponse{}
	for _, state := range request.Topics {
		t := r.topic(state.Topic)
		if t == nil {
			continue
		}
		versions := t.Versions()
		if digest(versions) != state.Digest {
			response.Topics = append(response.Topics, topicState{Topic: state.Topic, Versions: versions})
		}
	}
	return response, nil
}

func (r *Replicator) serveFullComparison(request *compareRequest) *compareResponse {
	response := &compareResponse{}
	for _, state := range request.Topics {
		t := r.topic(state.Topic)
		if t == nil {
			continue
		}
		if newer := t.Newer(state.Versions); len(newer) > 0 {
			response.Topics = append(response.Topics, topicState{Topic: state.Topic, Items: newer})
		}
	}
	r.merge(request.Topics)
	return response
}

func (r *Replicator) servePush(_ context.Context, request *pushRequest) (*pushResponse, error) {
	r.merge(request.Topics)
	return &pushResponse{}, nil
}

// pushLoop pushes the changed topics of the queue. Per topic, it sends only the
// items that changed since the last push.
func (r *Replicator) pushLoop(ctx context.Context) {
	pushed := map[TopicName][]ItemVersion{}
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-r.pushQueue:
			r.push(ctx, name, pushed)
		}
	}
}

// push sends the items of a topic that are newer than in pushed to a few random
// peers, and records the sent versions in pushed whether or not the peers answer.
func (r *Replicator) push(ctx context.Context, name TopicName, pushed map[TopicName][]ItemVersion) {
	t := r.topic(name)
	if t == nil {
		return
	}
	items := t.Newer(pushed[name])
	if len(items) == 0 {
		return
	}
	pushed[name] = t.Versions()
	request := &pushRequest{Topics: []topicState{{Topic: name, Items: items}}}
	var pushes sync.WaitGroup
	for _, peer := range r.randomPeers(fanout) {
		pushes.Add(1)
		go func() {
			defer pushes.Done()
			r.pushTo(ctx, peer, request)
		}()
	}
	pushes.Wait()
}

// Broadcast pushes items to all other daemons. It returns when each has answered or
// the call to it has failed or timed out.
func (r *Replicator) Broadcast(ctx context.Context, name TopicName, items ...Item) {
	r.mu.Lock()
	peers := r.peers
	r.mu.Unlock()
	request := &pushRequest{Topics: []topicState{{Topic: name, Items: items}}}
	var pushes sync.WaitGroup
	for _, peer := range peers() {
		pushes.Add(1)
		go func() {
			defer pushes.Done()
			r.pushTo(ctx, peer, request)
		}()
	}
	pushes.Wait()
}

func (r *Replicator) pushTo(ctx context.Context, peer string, request *pushRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.Call[pushResponse](ctx, r.client, peer, methodPush, request); err != nil {
		r.log.Debug("push of items to a peer failed", zap.String("step", "push"), zap.String("peer", peer), zap.Error(err))
	}
}
