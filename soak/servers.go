package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

const (
	serverSlots = 4 // requests that a server runs at once
	serviceTime = 5 * time.Millisecond
	// leavingTime is how long a server that leaves continues to serve.
	leavingTime = 4 * time.Second
)

// serverSlot is a place in the fleet that one server after the other takes.
type serverSlot struct {
	name  string
	index int
	fleet *Fleet
	keyed bool

	mu      sync.Mutex
	current *placedServer
	all     []*placedServer // also those that have ended
	faults  faultSet[fenced.Faults]
}

// placedServer is one server process and the link by which daemons reach it.
type placedServer struct {
	*fenced.Server
	link        *Link
	saysLeaving bool // in its answers
}

// impair puts faults in force. A server that has said that it leaves goes on to do so.
func (p *placedServer) impair(f fenced.Faults) {
	f.SayLeaving = p.saysLeaving
	p.SetFaults(f)
}

func newServerSlot(f *Fleet, index int, keyed bool) (*serverSlot, error) {
	s := &serverSlot{name: classServer.target(index), index: index, fleet: f, keyed: keyed}
	link, err := newLink(f.ports.next(), "")
	if err != nil {
		return nil, err
	}
	return s, s.place(link)
}

// place starts a new server behind a link. The caller must hold s.mu, except in newServerSlot.
func (s *serverSlot) place(link *Link) error {
	service := plainService
	if s.keyed {
		service = keyedService
	}
	id := fmt.Sprintf("%s-%d", s.name, len(s.all))
	zone := classZone.target((s.index + len(s.all)) % zones)
	s.fleet.monitor.Placed(id, zone)
	server, err := fenced.Start(fenced.Options{
		ID: id, Service: service, Zone: zone,
		Address: anyAddress, Slots: serverSlots, ServiceTime: serviceTime, Keyed: s.keyed,
		Store: s.fleet.registry, Ledger: s.fleet.ledger,
		Reached: func(a fenced.Arrival) { s.fleet.monitor.Reached(id, service, a) },
	})
	if err != nil {
		return errors.Wrapf(err, "start server of %s", s.name)
	}
	if err := link.connect(server.Address()); err != nil {
		server.Crash()
		return err
	}
	s.current = &placedServer{Server: server, link: link}
	s.all = append(s.all, s.current)
	s.current.impair(s.faults.merged())
	return s.publish(s.current)
}

// publish copies a server's registration to the store, with the address of its link.
func (s *serverSlot) publish(p *placedServer) error {
	value, ok := s.fleet.registry.Value("servers", p.ID())
	if !ok {
		s.fleet.store.DeleteRow("servers", p.ID())
		return nil
	}
	var registration map[string]any // fields of the stand-in, of which one changes
	if err := json.Unmarshal(value, &registration); err != nil {
		return errors.Wrapf(err, "decode registration of %s", p.ID())
	}
	registration["Address"] = p.link.address
	value, err := json.Marshal(registration)
	if err != nil {
		return errors.Wrapf(err, "encode registration of %s", p.ID())
	}
	s.fleet.store.PutRow("servers", p.ID(), value)
	return nil
}

func (s *serverSlot) currentLink() *Link { return s.currentServer().link }

// impair puts a fault of the servers of the slot in force until the returned function is called.
func (s *serverSlot) impair(set func(*fenced.Faults)) (end endFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := s.faults.add(set)
	s.current.impair(s.faults.merged())
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults.remove(number)
		for _, server := range s.all {
			server.impair(s.faults.merged())
		}
		return nil
	}
}

// crash ends the server. Another one starts at its address when the fault ends.
func (s *serverSlot) crash() (end endFunc, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.current
	lost.link.disconnect()
	lost.Crash()
	lost.Unregister() // it writes its registration no more, but the store keeps it for now
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.current != lost {
			return s.remove(lost) // it was replaced meanwhile
		}
		if err := s.place(lost.link); err != nil {
			return err
		}
		return s.remove(lost)
	}, nil
}

// lapse removes the server's registration until the fault ends.
func (s *serverSlot) lapse() (end endFunc, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.current
	err = s.remove(server)
	s.fleet.monitor.Drained(server.ID(), time.Now())
	return func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.current != server {
			return nil
		}
		server.Register()
		s.fleet.monitor.Registered(server.ID())
		return s.publish(server)
	}, err
}

// replace starts another server in the slot. The former one leaves: it registers as
// draining if announced, or else removes its registration, and ends after leavingTime.
func (s *serverSlot) replace(announced bool) (end endFunc, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := s.current
	link, err := newLink(s.fleet.ports.next(), "")
	if err != nil {
		return nothing, err
	}
	if err := s.place(link); err != nil {
		return nothing, err
	}
	if announced {
		leaving.Drain()
		err = s.publish(leaving)
	} else {
		err = s.remove(leaving)
	}
	left := time.Now()
	s.fleet.monitor.Drained(leaving.ID(), left)
	return func() error {
		time.Sleep(time.Until(left.Add(leavingTime)))
		s.mu.Lock()
		defer s.mu.Unlock()
		leaving.StopListening()
		leaving.link.disconnect()
		leaving.Crash()
		return s.remove(leaving)
	}, err
}

// sayLeaving makes the server say in its answers that it leaves. When the fault ends, it
// is replaced, unless it was meanwhile.
func (s *serverSlot) sayLeaving() (end endFunc, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leaving := s.current
	leaving.saysLeaving = true
	leaving.impair(s.faults.merged())
	return func() error {
		if s.currentServer() != leaving {
			return nil
		}
		gone, err := s.replace(true)
		if err != nil {
			return err
		}
		return gone()
	}, nil
}

func (s *serverSlot) currentServer() *placedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// remove removes a server's registration. The caller must hold s.mu.
func (s *serverSlot) remove(p *placedServer) error {
	p.Unregister()
	return s.publish(p)
}

func (s *serverSlot) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.all {
		server.SetFaults(fenced.Faults{})
		server.Crash()
		server.link.close()
	}
}

// runs returns how often the servers of the slot ran a request.
func (s *serverSlot) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := 0
	for _, server := range s.all {
		runs += server.Runs(id)
	}
	return runs
}

// runs returns how often all servers together ran a request.
func (f *Fleet) runs(id string) int {
	runs := 0
	for _, s := range f.slots {
		runs += s.runs(id)
	}
	return runs
}
