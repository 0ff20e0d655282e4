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

// Rates of the exchange.
const (
	comparePeriod = 500 * time.Millisecond // time between two comparisons
	fanout        = 3                      // peers to which a change is pushed
	callTimeout   = 500 * time.Millisecond // bound of one exchange
)

const (
	methodCompare rpc.Method = "spread.compare"
	methodPush    rpc.Method = "spread.push"
)

// Peers returns the control addresses (ip:port) of the other daemons.
type Peers func() []string

// topicState is one topic in a comparison. Versions are sent only after digests differed.
type topicState struct {
	Topic    TopicName     `json:"topic"`
	Digest   uint64        `json:"digest,omitempty"`
	Versions []ItemVersion `json:"versions,omitempty"`
	Items    []Item        `json:"items,omitempty"`
}

type compareRequest struct {
	Topics []topicState `json:"topics"`
	// Full asks for items by versions rather than by digests.
	Full bool `json:"full,omitempty"`
}

type compareAnswer struct {
	// Topics holds, for a comparison by digests, those that differ with the
	// answering daemon's versions; for a full one, the items that the asking daemon lacks.
	Topics []topicState `json:"topics,omitempty"`
}

type pushRequest struct {
	Topics []topicState `json:"topics"`
}

type pushAnswer struct{}

// Spread exchanges the items of its topics with the other daemons.
type Spread struct {
	client *rpc.Client
	log    *zap.Logger

	mu     sync.Mutex
	topics map[TopicName]Topic
	peers  Peers

	changed    chan TopicName
	background kernel.Background
}

const changeQueue = 256 // changes waiting to be pushed

// New returns a spread without topics.
func New(server *rpc.Server, client *rpc.Client, log *zap.Logger) *Spread {
	s := &Spread{
		client:  client,
		log:     log.Named(string(ServiceName)),
		topics:  map[TopicName]Topic{},
		peers:   func() []string { return nil },
		changed: make(chan TopicName, changeQueue),
	}
	rpc.Handle(server, methodCompare, s.serveCompare)
	rpc.Handle(server, methodPush, s.servePush)
	return s
}

// Add registers a topic. It must be called before Start.
func (s *Spread) Add(t Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[t.Name()] = t
}

// SetPeers sets where the other daemons are found.
func (s *Spread) SetPeers(p Peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = p
}

// SchedulePush pushes a topic's items to a few peers soon. It does not block.
func (s *Spread) SchedulePush(name TopicName) {
	select {
	case s.changed <- name:
	default:
	}
}

// Name implements kernel.Service.
func (s *Spread) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (s *Spread) After() []kernel.Name { return []kernel.Name{"control"} }

// Ready implements kernel.Service.
func (s *Spread) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Spread) Start(context.Context) error {
	s.background.Go(s.compareLoop)
	s.background.Go(s.pushLoop)
	return nil
}

// Stop implements kernel.Service.
func (s *Spread) Stop(context.Context) error {
	s.background.Stop()
	return nil
}

func (s *Spread) compareLoop(ctx context.Context) {
	for {
		pause := comparePeriod/2 + rand.N(comparePeriod)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		for _, peer := range s.choose(1) {
			s.compare(ctx, peer)
		}
	}
}

// choose returns up to count random peers.
func (s *Spread) choose(count int) []string {
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	all := peers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

func (s *Spread) topicList() []Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Topic, 0, len(s.topics))
	for _, t := range s.topics {
		list = append(list, t)
	}
	return list
}

func (s *Spread) topic(name TopicName) Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topics[name]
}

// Pull compares with one peer now, for a daemon that was told that the peer
// knows something newer.
func (s *Spread) Pull(ctx context.Context, peer string) { s.compare(ctx, peer) }

// compare exchanges digests with a peer, then items of the topics that differ
// in both directions.
func (s *Spread) compare(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &compareRequest{}
	for _, t := range s.topicList() {
		request.Topics = append(request.Topics, topicState{Topic: t.Name(), Digest: digest(t.Versions())})
	}
	answer, err := rpc.Call[compareAnswer](ctx, s.client, peer, methodCompare, request)
	if err != nil {
		s.log.Debug("comparison failed", zap.String("step", "compare"), zap.String("peer", peer), zap.Error(err))
		return
	}
	if len(answer.Topics) > 0 {
		s.reconcile(ctx, peer, answer.Topics)
	}
}

// reconcile sends what the peer lacks and asks for what it has newer.
func (s *Spread) reconcile(ctx context.Context, peer string, theirs []topicState) {
	full := &compareRequest{Full: true}
	for _, state := range theirs {
		t := s.topic(state.Topic)
		if t == nil {
			continue
		}
		full.Topics = append(full.Topics, topicState{
			Topic:    state.Topic,
			Versions: t.Versions(),
			Items:    t.Newer(state.Versions),
		})
	}
	answer, err := rpc.Call[compareAnswer](ctx, s.client, peer, methodCompare, full)
	if err != nil {
		s.log.Debug("comparison failed", zap.String("step", "reconcile"), zap.String("peer", peer), zap.Error(err))
		return
	}
	s.merge(answer.Topics)
}

// merge takes items and pushes on those that were new here.
func (s *Spread) merge(states []topicState) {
	for _, state := range states {
		t := s.topic(state.Topic)
		if t != nil && len(state.Items) > 0 && t.Merge(state.Items) {
			s.SchedulePush(state.Topic)
		}
	}
}

func (s *Spread) serveCompare(_ context.Context, request *compareRequest) (*compareAnswer, error) {
	if request.Full {
		return s.serveFull(request), nil
	}
	answer := &compareAnswer{}
	for _, state := range request.Topics {
		t := s.topic(state.Topic)
		if t == nil {
			continue
		}
		versions := t.Versions()
		if digest(versions) != state.Digest {
			answer.Topics = append(answer.Topics, topicState{Topic: state.Topic, Versions: versions})
		}
	}
	return answer, nil
}

func (s *Spread) serveFull(request *compareRequest) *compareAnswer {
	answer := &compareAnswer{}
	for _, state := range request.Topics {
		t := s.topic(state.Topic)
		if t == nil {
			continue
		}
		if newer := t.Newer(state.Versions); len(newer) > 0 {
			answer.Topics = append(answer.Topics, topicState{Topic: state.Topic, Items: newer})
		}
	}
	s.merge(request.Topics)
	return answer
}

func (s *Spread) servePush(_ context.Context, request *pushRequest) (*pushAnswer, error) {
	s.merge(request.Topics)
	return &pushAnswer{}, nil
}

// pushLoop sends the items that changed since the last push to a few peers.
func (s *Spread) pushLoop(ctx context.Context) {
	pushed := map[TopicName][]ItemVersion{}
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-s.changed:
			s.push(ctx, name, pushed)
		}
	}
}

func (s *Spread) push(ctx context.Context, name TopicName, pushed map[TopicName][]ItemVersion) {
	t := s.topic(name)
	if t == nil {
		return
	}
	items := t.Newer(pushed[name])
	if len(items) == 0 {
		return
	}
	pushed[name] = t.Versions()
	request := &pushRequest{Topics: []topicState{{Topic: name, Items: items}}}
	var all sync.WaitGroup
	for _, peer := range s.choose(fanout) {
		all.Add(1)
		go func() {
			defer all.Done()
			s.pushTo(ctx, peer, request)
		}()
	}
	all.Wait()
}

// Broadcast gives items to all other daemons and waits until each has taken them or
// did not answer in time.
func (s *Spread) Broadcast(ctx context.Context, name TopicName, items ...Item) {
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	request := &pushRequest{Topics: []topicState{{Topic: name, Items: items}}}
	var all sync.WaitGroup
	for _, peer := range peers() {
		all.Add(1)
		go func() {
			defer all.Done()
			s.pushTo(ctx, peer, request)
		}()
	}
	all.Wait()
}

func (s *Spread) pushTo(ctx context.Context, peer string, request *pushRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := rpc.Call[pushAnswer](ctx, s.client, peer, methodPush, request); err != nil {
		s.log.Debug("push failed", zap.String("step", "push"), zap.String("peer", peer), zap.Error(err))
	}
}
