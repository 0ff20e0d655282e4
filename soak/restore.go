package main

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
)

// What is written again after the store has returned from an older copy, counted from its
// return.
const (
	earliestReport = 800 * time.Millisecond  // of a server
	latestReport   = 1800 * time.Millisecond // of a server
	configureAgain = 1500 * time.Millisecond // by the operators
	// lapseAgain is when the store removes the registrations in the copy of servers that
	// have left or ended.
	lapseAgain = 2500 * time.Millisecond
)

// restoreStore takes the store down. When the fault ends, the store returns from a copy
// that was so much older at the begin of the outage as the target says.
func (f *Fleet) restoreStore(target string) (endFunc, error) {
	age, err := time.ParseDuration(target)
	if err != nil {
		return nothing, errors.Wrap(err, "age of the store's copy")
	}
	began := time.Now()
	up := f.impairStore(takeStoreDown)
	return func() error {
		f.store.Restore(age + time.Since(began))
		f.writeAgain()
		return up()
	}, nil
}

// writeAgain lets operators and servers write again what the store has lost.
func (f *Fleet) writeAgain() {
	f.rewrites.Go(func() error {
		time.Sleep(configureAgain)
		f.restoreConfiguration()
		f.restoreEvacuations()
		return nil
	})
	for i, s := range f.slots {
		report := earliestReport + (latestReport-earliestReport)*time.Duration(i)/time.Duration(len(f.slots))
		f.rewrites.Go(func() error {
			time.Sleep(report)
			return s.registerAgain()
		})
		f.rewrites.Go(func() error {
			time.Sleep(lapseAgain)
			return s.removeEnded()
		})
	}
}

// restoreConfiguration writes the newest configuration again if the store has another one.
func (f *Fleet) restoreConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if value, _ := f.store.Value("op", "config"); !bytes.Equal(value, f.newest) {
		f.writeConfiguration()
	}
}

// registerAgain writes the registrations again of the slot's servers that have one.
func (s *serverSlot) registerAgain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		if !s.isRegistered(p) {
			continue
		}
		p.RegisterAgain()
		if err := s.publish(p); err != nil {
			return err
		}
	}
	return nil
}

// removeEnded removes the registrations in the store of the slot's servers that have none.
func (s *serverSlot) removeEnded() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.all {
		if _, ok := s.fleet.store.Value("servers", p.ID()); !ok || s.isRegistered(p) {
			continue
		}
		if err := s.publish(p); err != nil {
			return err
		}
	}
	return nil
}

// isRegistered reports whether a server keeps a registration. The caller must hold s.mu.
func (s *serverSlot) isRegistered(p *placedServer) bool {
	_, ok := s.fleet.registry.Value("servers", p.ID())
	return ok
}
