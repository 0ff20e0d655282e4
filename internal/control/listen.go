package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the name of the control address in the kernel.
const ServiceName kernel.Name = "control"

// Listener serves other daemons' calls on the control address.
type Listener struct {
	config  *config.Config
	network *netx.Network
	server  *rpc.Server
	client  *rpc.Client
}

// NewListener returns a listener that is not yet started.
func NewListener(c *config.Config, network *netx.Network, server *rpc.Server, client *rpc.Client) *Listener {
	return &Listener{config: c, network: network, server: server, client: client}
}

// Name implements kernel.Service.
func (l *Listener) Name() kernel.Name { return ServiceName }

// After implements kernel.Service. The dispatch and admin addresses are told to
// peers and must be known first.
func (l *Listener) After() []kernel.Name {
	if l.config.Fenced != nil {
		return nil // its daemons have neither
	}
	return []kernel.Name{"dispatcher", "admin"}
}

// Ready implements kernel.Service.
func (l *Listener) Ready() error { return nil }

// Start implements kernel.Service.
func (l *Listener) Start(context.Context) error {
	listener, err := l.network.Listen(l.config.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "listen for control")
	}
	l.config.ControlAddress = listener.Addr().String()
	go l.server.Serve(listener)
	return nil
}

// Stop implements kernel.Service.
func (l *Listener) Stop(context.Context) error {
	l.server.Close()
	l.client.Close()
	return nil
}
