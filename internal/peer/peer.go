// Package peer is how routers talk to each other: drpc over TCP.
//
//	Server  answers Forward, Exchange, Configuration and List with a Handler
//	Client  calls them; connections to a peer are pooled, one a running call
//
// Control traffic (all but Forward) is metered in bytes, since a node
// has a budget for it; the tests check the meter against the socket.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
)

// Errors of this package.
var (
	// ErrUnreachable: no byte of the call left; another peer can be asked.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken: the call was under way; what became of it is not known.
	ErrBroken = errors.New("peer: connection broken")
)

// Sender passes the events of a forwarded request back to the edge.
type Sender func(*peerpb.ForwardEvent) error

// Handler serves the calls of other routers.
type Handler struct {
	Forward       func(ctx context.Context, r *peerpb.ForwardRequest, send Sender) error
	Exchange      func(d *peerpb.Digest) *peerpb.DigestReply
	Configuration func(r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
	List          func(r *peerpb.ListRequest) (*peerpb.ListReply, error)
}

// service adapts a Handler to the generated interface.
type service struct {
	handler Handler
	meter   *Meter
}

// Forward implements the generated interface.
func (s *service) Forward(r *peerpb.ForwardRequest, stream peerpb.DRPCPeer_ForwardStream) error {
	return s.handler.Forward(stream.Context(), r, stream.Send)
}

// Exchange implements the generated interface.
func (s *service) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.DigestReply, error) {
	reply := s.handler.Exchange(d)
	s.meter.Received(d, reply)
	return reply, nil
}

// Configuration implements the generated interface.
func (s *service) Configuration(_ context.Context, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	reply, err := s.handler.Configuration(r)
	if err != nil {
		return nil, err
	}
	s.meter.Received(r, reply)
	return reply, nil
}

// List implements the generated interface.
func (s *service) List(_ context.Context, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	reply, err := s.handler.List(r)
	if err != nil {
		return nil, err
	}
	s.meter.Received(r, reply)
	return reply, nil
}

// Server listens for other routers.
type Server struct {
	listener net.Listener
	relayed  net.Listener
	server   *drpcserver.Server
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Listen starts a server.
func Listen(address string, handler Handler, meter *Meter) (*Server, error) {
	return ListenWith(address, func(mux *drpcmux.Mux) error {
		return peerpb.DRPCRegisterPeer(mux, &service{handler: handler, meter: meter})
	})
}

// ListenWith starts a server of the services that register adds.
func ListenWith(address string, register func(*drpcmux.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, fmt.Errorf("peer: register: %w", err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	routes := drpcmigrate.NewListenMux(patientListener{listener}, len(relayPrefix))
	s := &Server{listener: listener, relayed: relayListener{routes.Route(relayPrefix)}, server: drpcserver.New(mux), cancel: cancel}
	// The errors are those of the closed listener.
	s.done.Go(func() { _ = routes.Run(ctx) })
	s.done.Go(func() { _ = s.server.Serve(ctx, routes.Default()) })
	return s, nil
}

// Relayed returns the listener of connections that carry relayed requests. If nothing
// accepts them, they wait until the server is closed.
func (s *Server) Relayed() net.Listener { return s.relayed }

// Address returns the host:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends the server and what it still runs.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.done.Wait()
}

// controlTimeout bounds a control call, and keptTimeout its first attempt on a kept
// connection: what is left is for a new one to open (a second at most) and answer.
const (
	controlTimeout = 2 * time.Second
	keptTimeout    = 800 * time.Millisecond
)
