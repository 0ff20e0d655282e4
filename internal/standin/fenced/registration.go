package fenced

import (
	"encoding/json"
	"time"
)

func (s *Server) register(state string) {
	s.sequence++
	s.state = state
	body, err := json.Marshal(map[string]any{
		"Service": s.options.Service, "Address": s.Address(), "Zone": s.options.Zone, "Version": "v1",
		"Capacity": s.options.Slots, "State": state, "WarmupLeftS": s.coldFor(time.Now()).Seconds(), "Sequence": s.sequence, "born": s.startedMS,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	s.options.Store.PutRow("servers", s.options.ID, body)
}

// Register registers the server again as ready, as a server's periodic report does.
func (s *Server) Register() { s.register("ready") }

// Drain registers the server as draining.
func (s *Server) Drain() { s.register("draining") }

// Unregister removes the registration, as the store does when the registration's lease expires.
func (s *Server) Unregister() {
	s.state = ""
	s.options.Store.DeleteRow("servers", s.options.ID)
}

// RegisterAgain writes the registration again in its last state, as a server does after the
// store has returned from an older copy. A registration that was removed is removed again,
// and so is that of a crashed server, whose lease runs out.
func (s *Server) RegisterAgain() {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	if stopped || s.state == "" {
		s.Unregister()
		return
	}
	s.register(s.state)
}
