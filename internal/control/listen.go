package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the name of the control listener in the kernel.
const ServiceName kernel.Name = "control"

// Listener is the service that serves the calls of other daemons on the control
// address. Stop also closes the connections to other daemons.
type Listener struct {
	config  *config.Config
	network *netx.Network
	server  *rpc.Server
	client  *rpc.Client
}

// NewListener returns a listener that is not started.
func NewListener(c *config.Config, network *netx.Network, server *rpc.Server, client *rpc.Client) *Listener {
	return &Listener{config: c, network: network, server: server, client: client}
}

// Name implements kernel.Service.
func (l *Listener) Name() kernel.Name { return ServiceName }

// After implements kernel.Service. Other daemons get the dispatch and admin
// addresses, so these listeners must have bound them before.
func (l *Listener) After() []kernel.Name {
	if l.config.Fenced != nil {
		return nil // daemons with this setting have neither service
	}
	return []kernel.Name{"dispatcher", "admin"}
}

// Ready implements kernel.Service.
func (l *Listener) Ready() error { return nil }

// Start implements kernel.Service.
func (l *Listener) Start(context.Context) error {
	listener, err := l.network.Listen(l.config.ControlAddress)
	if err != nil {
		return errors.Wrapf(err, "listen on control address %s", l.config.ControlAddress)
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
